#!/bin/sh
# Runs the case after the build of the deploy file and review/build.sh. Exit code 1: the rule was broken, 0: it held,
# 2: the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/loadbalancer.jar ] || [ ! -f review/classes/HeaderFlood.class ]; then
    echo "build first: build of deploy/balancer.toml, review/build.sh"
    exit 2
fi
timeout -k 5 110 java -Xmx256m -cp review/classes HeaderFlood review/2/record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
