package loadbalancer.proxy.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import loadbalancer.policy.DeduplicationScope;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.RequestClass;

/** Values that the parser reads from request headers, and errors for missing or invalid headers. */
class ClientRequestParserTest {
    @ParameterizedTest
    @CsvSource({
        "0m, 0",
        "1m, 0",
        "5m, 4000",
        "60m, 57000",
        "400m, 380000",
        "1000m, 950000",
        "3000m, 2850000",
        "3000000u, 2850000",
        "60000m, 59850000"
    })
    void remainingTimeExcludesTheTimeForTheResponse(String header, long remainingUs) throws Exception {
        assertEquals(remainingUs, ClientRequestParser.parseRemainingUs(header));
    }

    private static BadRequestException parseError(HttpMethod method, String... headers) {
        LoadBalancerSettings settings = new LoadBalancerSettings();
        settings.classes.add(new RequestClass(
                "page", 1_000_000, 0, 5_000_000, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false));
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, "/api/page");
        for (String header : headers) {
            String[] nameAndValue = header.split(": ", 2);
            head.headers().add(nameAndValue[0], nameAndValue[1]);
        }
        ClientRequestParser parser = new ClientRequestParser(settings);
        return assertThrows(BadRequestException.class, () -> parser.parse(head, new byte[0]));
    }

    private static void assertError(
            String header, String value, String reason, String message, BadRequestException error) {
        assertEquals(header, error.header());
        assertEquals(value, error.value());
        assertEquals(reason, error.reason());
        assertEquals(message, error.getMessage());
    }

    @Test
    void errorNamesTheMissingHeader() {
        assertError("X-Txn", null, "is missing", "X-Txn is missing", parseError(HttpMethod.GET, "X-Lane: page"));
    }

    @Test
    void errorHasTheValuesOfARepeatedHeader() {
        BadRequestException error = parseError(HttpMethod.GET, "X-Txn: t", "X-Txn: u");
        assertError("X-Txn", "t, u", "is given twice", "X-Txn is given twice", error);
    }

    @Test
    void errorHasTheUnreadableValue() {
        BadRequestException error = parseError(HttpMethod.GET, "X-Txn: t", "X-Lane: page", "X-Remaining: soon");
        assertError("X-Remaining", "soon", "cannot be read", "X-Remaining cannot be read", error);
    }

    @Test
    void errorNamesTheClassThatDoesNotPermitTheMethod() {
        BadRequestException error = parseError(HttpMethod.POST, "X-Txn: t", "X-Lane: page", "X-Remaining: 400m");
        String reason = "does not go with the method";
        assertError("X-Lane", "page", reason, "the class does not go with the method", error);
    }
}
