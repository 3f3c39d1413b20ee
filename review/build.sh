#!/bin/sh
# Builds the stand-ins of all cases. Needs only the JDK, no network.
cd "$(dirname "$0")" || exit 2
rm -rf classes && mkdir classes && javac -encoding UTF-8 -d classes standins/*.java
