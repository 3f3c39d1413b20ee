package loadbalancer.proxy.discovery;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.util.TokenBuffer;

/**
 * Parses the JSON objects of a watch. An object may be split at any byte and may span several lines, and a line may
 * hold several objects.
 */
final class EndpointListParser {
    /** The space for 3,200 indented entries of half a kilobyte each. */
    private static final int MAX_OBJECT_BYTES = 3_200 * 512;

    /** The tokens of 3,200 entries with as many unknown fields as known ones. */
    private static final int MAX_OBJECT_TOKENS = 3_200 * 32;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    /** The object whose end has not arrived yet, or null. */
    private TokenBuffer partialObject;

    private int depth;
    private int bytesSinceLastObject;
    private int tokensOfObject;

    EndpointListParser() {
        try {
            parser = JSON.getFactory().createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException("cannot create a JSON parser", e);
        }
        feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /** Returns whether the start of an object has arrived, but not its end. */
    boolean hasPartialObject() {
        return depth > 0;
    }

    /**
     * Parses further bytes.
     *
     * @return the objects that these bytes complete, in order; empty for a heartbeat
     * @throws IOException if the bytes are not a sequence of objects or an object is too long; the parser cannot be
     *     used afterwards
     */
    List<JsonNode> parse(byte[] bytes) throws IOException {
        feeder.feedInput(bytes, 0, bytes.length);
        List<JsonNode> objects = new ArrayList<>();
        JsonToken token;
        while ((token = parser.nextToken()) != JsonToken.NOT_AVAILABLE) {
            append(token);
            if (depth == 0) {
                checkTokenCount();
                objects.add(JSON.readTree(partialObject.asParser()));
                partialObject = null;
            }
        }
        checkObjectLength(bytes, !objects.isEmpty());
        return objects;
    }

    private void append(JsonToken token) throws IOException {
        if (depth == 0) {
            if (token != JsonToken.START_OBJECT) {
                throw new IOException("expected a JSON object but found " + token);
            }
            partialObject = new TokenBuffer(JSON, false);
            tokensOfObject = 0;
        }
        tokensOfObject++;
        if (tokensOfObject <= MAX_OBJECT_TOKENS) {
            partialObject.copyCurrentEvent(parser);
        }
        if (token.isStructStart()) {
            depth++;
        } else if (token.isStructEnd()) {
            depth--;
        }
    }

    /** Fails if an object has so many tokens that they were not kept: they take up far more memory than their bytes. */
    private void checkTokenCount() throws IOException {
        if (tokensOfObject > MAX_OBJECT_TOKENS) {
            throw new IOException("a JSON object exceeds " + MAX_OBJECT_TOKENS + " tokens");
        }
    }

    /**
     * Fails if an object is too long. A heartbeat, which is white space between objects, does not count as part of one.
     */
    private void checkObjectLength(byte[] bytes, boolean hasCompletedObject) throws IOException {
        boolean isHeartbeat = depth == 0 && isBlank(bytes);
        bytesSinceLastObject = hasCompletedObject || isHeartbeat ? 0 : bytesSinceLastObject + bytes.length;
        if (bytesSinceLastObject > MAX_OBJECT_BYTES) {
            throw new IOException("a JSON object exceeds " + MAX_OBJECT_BYTES + " bytes");
        }
    }

    private static boolean isBlank(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1).isBlank();
    }
}
