package loadbalancer.proxy.downstream;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

import loadbalancer.policy.Idempotency;
import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.proxy.protocol.HttpProtocol;
import loadbalancer.proxy.protocol.MessageFraming;
import loadbalancer.proxy.resources.ConnectionLimits;

/** Parses the headers of client requests, and rejects requests that violate the protocol. */
public final class ClientRequestParser {
    private static final String API_PATH =
            HttpProtocol.API_PATH_PREFIX.substring(0, HttpProtocol.API_PATH_PREFIX.length() - 1);
    private static final int NO_TENANT = -1;
    private static final byte[] NO_BODY = {};

    /** The fraction of the client's remaining time that is reserved for writing and transferring the response. */
    private static final double RESPONSE_TIME_FRACTION = 0.05;

    private static final long MIN_RESPONSE_TIME_US = 1_000;
    private static final long MAX_RESPONSE_TIME_US = 150_000;

    private static final double MAX_REMAINING_US = 3.6e9;
    private static final double US_PER_MS = 1_000;
    private static final char DELETE_CHARACTER = 0x7f;
    private static final Pattern NUMBER = Pattern.compile("[0-9.]{1,20}");

    private final LoadBalancerSettings settings;
    private final Map<String, Integer> classIndexes = new HashMap<>();
    private final Map<String, Integer> tenantIndexes = new HashMap<>();

    /** Creates a parser that knows the request classes and tenants of the settings. */
    public ClientRequestParser(LoadBalancerSettings settings) {
        this.settings = settings;
        settings.classes.forEach(requestClass -> classIndexes.put(requestClass.name(), classIndexes.size()));
        settings.tenants.forEach(tenant -> tenantIndexes.put(tenant.name(), tenantIndexes.size()));
    }

    /** Returns the path of a request target, without the query. */
    private static String path(String uri) {
        int end = uri.indexOf('?');
        return end < 0 ? uri : uri.substring(0, end);
    }

    /** Returns whether requests for the path are forwarded to endpoints. */
    private static boolean isApiPath(String path) {
        return path.startsWith(HttpProtocol.API_PATH_PREFIX) || path.equals(API_PATH);
    }

    /** Parses a head. The proxy rejects a request with an invalid head before it receives the body. */
    RequestHead parseHead(HttpRequest head) {
        HttpResponseStatus error = headError(head);
        if (error != null) {
            return RequestHead.rejected(error, NO_BODY);
        }
        boolean isKeepAlive = HttpUtil.isKeepAlive(head);
        if (isReadinessPath(head)) {
            return RequestHead.readinessCheck(isKeepAlive);
        }
        try {
            return RequestHead.forwarded(parse(head, NO_BODY), allowsBody(head.method()), isKeepAlive);
        } catch (BadRequestException e) {
            return RequestHead.rejected(HttpResponseStatus.BAD_REQUEST, ClientResponses.reasonOf(e, head.method()));
        }
    }

    private static boolean isReadinessPath(HttpRequest head) {
        return path(head.uri()).equals(HttpProtocol.READINESS_PATH);
    }

    /**
     * Returns the error status for a request whose head is ambiguous or announces a body that is not allowed, or whose
     * target does not exist; null if there is no such error. Prevents request smuggling: a peer might find the end of the
     * request elsewhere and read the rest as a further request.
     */
    private static HttpResponseStatus headError(HttpRequest head) {
        if (!hasSupportedVersion(head) || !isVisibleAscii(head.uri()) || MessageFraming.isAmbiguous(head)) {
            return HttpResponseStatus.BAD_REQUEST;
        }
        long length = HttpUtil.getContentLength(head, 0L);
        if (length > 0 && !allowsBody(head.method())) {
            return HttpResponseStatus.BAD_REQUEST;
        }
        if (length > ConnectionLimits.MAX_REQUEST_BODY_BYTES) {
            return HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE;
        }
        if (isReadinessPath(head)) {
            return isReadinessMethod(head.method()) ? null : HttpResponseStatus.METHOD_NOT_ALLOWED;
        }
        return isApiPath(path(head.uri())) ? null : HttpResponseStatus.NOT_FOUND;
    }

    private static boolean isReadinessMethod(HttpMethod method) {
        return method.equals(HttpMethod.GET) || method.equals(HttpMethod.HEAD);
    }

    /** Returns whether a request with this method may have a body that is not empty. */
    private static boolean allowsBody(HttpMethod method) {
        return method.equals(HttpMethod.POST);
    }

    private static boolean hasSupportedVersion(HttpRequest head) {
        HttpVersion version = head.protocolVersion();
        return version.equals(HttpVersion.HTTP_1_1) || version.equals(HttpVersion.HTTP_1_0);
    }

    /** Returns whether each character is one that a request target may hold; others are not forwarded unchanged. */
    private static boolean isVisibleAscii(String target) {
        return target.chars().allMatch(character -> character > ' ' && character < DELETE_CHARACTER);
    }

    /**
     * Parses the headers of a complete request.
     *
     * @throws BadRequestException if a header is missing or invalid
     */
    ClientRequest parse(HttpRequest head, byte[] body) throws BadRequestException {
        String transactionId = requiredHeader(head, HttpProtocol.TRANSACTION_ID_HEADER);
        int classIndex = findClassIndex(requiredHeader(head, HttpProtocol.REQUEST_CLASS_HEADER));
        String idempotencyKey = optionalHeader(head, HttpProtocol.IDEMPOTENCY_KEY_HEADER);
        checkIdempotency(head.method(), classIndex, idempotencyKey);
        String tenant = optionalHeader(head, HttpProtocol.TENANT_HEADER);
        String path = path(head.uri());
        String key = path.substring(path.lastIndexOf('/') + 1);
        return new ClientRequest(
                head.method(),
                head.uri(),
                transactionId,
                idempotencyKey,
                body,
                classIndex,
                tenant == null ? NO_TENANT : tenantIndexes.getOrDefault(tenant, NO_TENANT),
                parseRemainingUs(requiredHeader(head, HttpProtocol.REMAINING_TIME_HEADER)),
                parseEstimatedWorkUs(optionalHeader(head, HttpProtocol.ESTIMATED_WORK_HEADER)),
                HttpProtocol.FLAG_SET.equals(optionalHeader(head, HttpProtocol.CLIENT_RETRY_HEADER)),
                key.isEmpty() ? null : key);
    }

    private int findClassIndex(String name) throws BadRequestException {
        Integer index = classIndexes.get(name);
        if (index == null) {
            throw new BadRequestException(HttpProtocol.REQUEST_CLASS_HEADER, name, "names no class");
        }
        return index;
    }

    /**
     * Checks that the method and the idempotency key of a request fit its class. A request that is less idempotent than
     * its class could be executed twice.
     */
    private void checkIdempotency(HttpMethod method, int classIndex, String idempotencyKey) throws BadRequestException {
        Idempotency idempotency = settings.classes.get(classIndex).idempotency();
        if (!method.equals(idempotency == Idempotency.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST)) {
            throw BadRequestException.methodMismatch(
                    settings.classes.get(classIndex).name());
        }
        boolean needsKey = idempotency == Idempotency.IDEMPOTENCY_KEY;
        if (needsKey == (idempotencyKey == null)) {
            throw new BadRequestException(
                    HttpProtocol.IDEMPOTENCY_KEY_HEADER, idempotencyKey, "does not go with the class");
        }
    }

    private static String requiredHeader(HttpRequest head, String name) throws BadRequestException {
        String value = optionalHeader(head, name);
        if (value == null || value.isEmpty()) {
            throw new BadRequestException(name, value, "is missing");
        }
        return value;
    }

    private static String optionalHeader(HttpRequest head, String name) throws BadRequestException {
        List<String> values = head.headers().getAll(name);
        if (values.size() > 1) {
            throw new BadRequestException(name, String.join(", ", values), "is given twice");
        }
        return values.isEmpty() ? null : values.get(0);
    }

    /**
     * Returns the time in which the response must be ready, in microseconds: the client's remaining time minus the time
     * that is reserved for the response.
     *
     * @param text the value of the header: a number that is followed by a unit
     * @throws BadRequestException if the value cannot be parsed or exceeds the maximum
     */
    static long parseRemainingUs(String text) throws BadRequestException {
        String header = HttpProtocol.REMAINING_TIME_HEADER;
        double unitUs = parseUnitUs(text);
        double us = unitUs * parseNumber(text.substring(0, text.length() - 1), header, text);
        if (unitUs == 0 || us > MAX_REMAINING_US) {
            throw unreadable(header, text);
        }
        double responseUs = Math.max(MIN_RESPONSE_TIME_US, Math.min(MAX_RESPONSE_TIME_US, RESPONSE_TIME_FRACTION * us));
        return Math.max(0, (long) (us - responseUs));
    }

    /** Returns the unit at the end of a remaining time in microseconds, or 0 if the unit is missing. */
    private static double parseUnitUs(String text) {
        if (text.endsWith(HttpProtocol.REMAINING_TIME_MILLISECONDS_UNIT)) {
            return US_PER_MS;
        }
        return text.endsWith(HttpProtocol.REMAINING_TIME_MICROSECONDS_UNIT) ? 1 : 0;
    }

    private static long parseEstimatedWorkUs(String text) throws BadRequestException {
        return text == null ? 0 : (long) parseNumber(text, HttpProtocol.ESTIMATED_WORK_HEADER, text);
    }

    /**
     * Parses the number in the value of a header.
     *
     * @param digits the value without its unit
     * @param value the complete value, for the error
     */
    private static double parseNumber(String digits, String header, String value) throws BadRequestException {
        // Double.parseDouble alone would also accept 1f, 0x1p3, NaN and surrounding whitespace.
        if (NUMBER.matcher(digits).matches()) {
            try {
                return Double.parseDouble(digits);
            } catch (NumberFormatException e) {
                throw unreadable(header, value);
            }
        }
        throw unreadable(header, value);
    }

    private static BadRequestException unreadable(String header, String value) {
        return new BadRequestException(header, value, "cannot be read");
    }
}
