package loadbalancer.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads and parses the input line by line. A line is a name followed by fields of the form {@code key=value}, separated
 * by single spaces. Integers, flags and request ids are parsed in the buffer, without creating objects.
 */
public final class WireLineParser {
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;

    private final InputStream in;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int bufferedBytes;
    private int lineStart;
    private int lineEnd;
    private long lineNumber;

    private int nameEnd;
    private int fieldCount;
    private int[] keyStart = new int[16];
    private int[] valueStart = new int[16];
    private int[] valueEnd = new int[16];

    WireLineParser(InputStream in) {
        this.in = in;
    }

    /** Reads the next line. Returns false at the end of the input. */
    boolean readLine() throws IOException {
        lineStart = lineNumber == 0 ? 0 : lineEnd + 1;
        lineNumber++;
        int position = lineStart;
        while (true) {
            while (position < bufferedBytes && buffer[position] != '\n') {
                position++;
            }
            if (position < bufferedBytes) {
                lineEnd = position;
                splitLine();
                return true;
            }
            if (lineStart > 0) {
                System.arraycopy(buffer, lineStart, buffer, 0, bufferedBytes - lineStart);
                bufferedBytes -= lineStart;
                position -= lineStart;
                lineStart = 0;
            }
            if (bufferedBytes == buffer.length) {
                buffer = Arrays.copyOf(buffer, 2 * buffer.length);
            }
            int readBytes = in.read(buffer, bufferedBytes, buffer.length - bufferedBytes);
            if (readBytes < 0) {
                lineEnd = bufferedBytes;
                if (bufferedBytes == lineStart) {
                    return false;
                }
                splitLine();
                // The last line has no line feed: adds one, so that the next call reports the end of the input.
                buffer[lineEnd < buffer.length ? lineEnd : lineEnd - 1] = '\n';
                bufferedBytes = Math.min(lineEnd + 1, buffer.length);
                return true;
            }
            bufferedBytes += readBytes;
        }
    }

    private void splitLine() {
        int position = lineStart;
        while (position < lineEnd && buffer[position] != ' ') {
            position++;
        }
        nameEnd = position;
        fieldCount = 0;
        while (position < lineEnd) {
            int key = position + 1;
            int equals = key;
            while (equals < lineEnd && buffer[equals] != '=' && buffer[equals] != ' ') {
                equals++;
            }
            position = equals;
            while (position < lineEnd && buffer[position] != ' ') {
                position++;
            }
            if (fieldCount == keyStart.length) {
                keyStart = Arrays.copyOf(keyStart, 2 * fieldCount);
                valueStart = Arrays.copyOf(valueStart, 2 * fieldCount);
                valueEnd = Arrays.copyOf(valueEnd, 2 * fieldCount);
            }
            keyStart[fieldCount] = key;
            valueStart[fieldCount] = Math.min(equals + 1, position);
            valueEnd[fieldCount] = position;
            fieldCount++;
        }
    }

    String name() {
        return new String(buffer, lineStart, nameEnd - lineStart, StandardCharsets.UTF_8);
    }

    boolean hasName(String name) {
        return matches(lineStart, nameEnd, name);
    }

    public int fieldCount() {
        return fieldCount;
    }

    /** Returns the key of the field at this index, which counts from 0. */
    public String key(int field) {
        int from = keyStart[field];
        return new String(buffer, from, Math.max(0, valueStart[field] - 1 - from), StandardCharsets.UTF_8);
    }

    /** Returns the value of the field at this index, which counts from 0. The value may be empty. */
    public String value(int field) {
        int from = valueStart[field];
        return new String(buffer, from, valueEnd[field] - from, StandardCharsets.UTF_8);
    }

    private boolean matches(int from, int to, String text) {
        if (to - from != text.length()) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            if (buffer[from + i] != text.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private int findField(String key) {
        for (int i = 0; i < fieldCount; i++) {
            if (valueStart[i] > keyStart[i] && matches(keyStart[i], valueStart[i] - 1, key)) {
                return i;
            }
        }
        return -1;
    }

    private int requireField(String key) throws WireFormatException {
        int field = findField(key);
        if (field < 0) {
            throw formatException(key, "is missing");
        }
        return field;
    }

    /** Returns the text of a field, or null if the line lacks the field. */
    String textOrNull(String key) {
        int field = findField(key);
        return field < 0 ? null : value(field);
    }

    String text(String key) throws WireFormatException {
        return value(requireField(key));
    }

    long wholeNumber(String key) throws WireFormatException {
        return wholeNumber(key, requireField(key));
    }

    long wholeNumber(String key, long defaultValue) throws WireFormatException {
        int field = findField(key);
        return field < 0 ? defaultValue : wholeNumber(key, field);
    }

    private long wholeNumber(String key, int field) throws WireFormatException {
        int position = valueStart[field];
        int end = valueEnd[field];
        boolean isNegative = position < end && buffer[position] == '-';
        position += isNegative ? 1 : 0;
        if (position == end || end - position > 18) {
            throw formatException(key, "is not a whole number");
        }
        long value = 0;
        for (; position < end; position++) {
            int digit = buffer[position] - '0';
            if (digit < 0 || digit > 9) {
                throw formatException(key, "is not a whole number");
            }
            value = 10 * value + digit;
        }
        return isNegative ? -value : value;
    }

    /** Returns the value of a field that is 1, 0, true or false, or false if the line lacks the field. */
    boolean flag(String key) throws WireFormatException {
        int field = findField(key);
        if (field < 0
                || matches(valueStart[field], valueEnd[field], "0")
                || matches(valueStart[field], valueEnd[field], "false")) {
            return false;
        }
        if (matches(valueStart[field], valueEnd[field], "1") || matches(valueStart[field], valueEnd[field], "true")) {
            return true;
        }
        throw formatException(key, "is neither 1 nor 0: " + value(field));
    }

    double decimal(String key, double defaultValue) throws WireFormatException {
        int field = findField(key);
        return field < 0 ? defaultValue : decimal(key, value(field));
    }

    private double decimal(String key, String text) throws WireFormatException {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw formatException(key, "is not a number");
        }
    }

    /** Returns the comma-separated numbers of a field, or null if the line lacks the field or its value is empty. */
    double[] numberList(String key) throws WireFormatException {
        int field = findField(key);
        if (field < 0 || valueStart[field] == valueEnd[field]) {
            return null;
        }
        String[] parts = value(field).split(",", -1);
        double[] numbers = new double[parts.length];
        for (int i = 0; i < parts.length; i++) {
            numbers[i] = decimal(key, parts[i]);
        }
        return numbers;
    }

    /** Returns a request id, which is written as 16 lower-case hexadecimal digits. */
    long requestId(String key) throws WireFormatException {
        int field = requireField(key);
        if (valueEnd[field] - valueStart[field] != 16) {
            throw formatException(key, "is not 16 hex digits");
        }
        long id = 0;
        for (int position = valueStart[field]; position < valueEnd[field]; position++) {
            int b = buffer[position];
            int digit = b >= '0' && b <= '9' ? b - '0' : b >= 'a' && b <= 'f' ? b - 'a' + 10 : -1;
            if (digit < 0) {
                throw formatException(key, "is not 16 hex digits");
            }
            id = id << 4 | digit;
        }
        return id;
    }

    /** Creates an exception whose message names the current line and one of its fields. */
    WireFormatException formatException(String field, String reason) {
        return new WireFormatException("line " + lineNumber + ": " + name() + ": field " + field + " " + reason);
    }

    /** Creates an exception whose message names the current line. */
    WireFormatException formatException(String reason) {
        return new WireFormatException("line " + lineNumber + ": " + reason);
    }
}
