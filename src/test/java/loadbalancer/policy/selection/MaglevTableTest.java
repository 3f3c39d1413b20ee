package loadbalancer.policy.selection;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import loadbalancer.policy.model.Endpoint;

/** Tests how {@link MaglevTable} distributes its entries among endpoints. */
class MaglevTableTest {
    private static Endpoint[] endpoints(int count) {
        Endpoint[] endpoints = new Endpoint[count];
        for (int i = 0; i < count; i++) {
            endpoints[i] = new Endpoint("10.0.0." + i + ":80", 1);
        }
        return endpoints;
    }

    private static long count(Endpoint[] table, Endpoint endpoint) {
        return Arrays.stream(table).filter(endpoint::equals).count();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 10, 50})
    void numbersOfEntriesDifferByAtMostOne(int count) {
        Endpoint[] endpoints = endpoints(count);
        Endpoint[] table = MaglevTable.build(endpoints, Endpoint::hash, 101, 1);
        for (Endpoint endpoint : endpoints) {
            long entries = count(table, endpoint);
            assertTrue(entries == 101 / count || entries == 101 / count + 1, endpoint.id() + ": " + entries);
        }
    }

    @Test
    void theTableDoesNotDependOnTheOrderOfTheEndpoints() {
        Endpoint[] endpoints = endpoints(10);
        Endpoint[] reversed = endpoints.clone();
        Collections.reverse(Arrays.asList(reversed));
        assertArrayEquals(
                MaglevTable.build(endpoints, Endpoint::hash, 101, 1),
                MaglevTable.build(reversed, Endpoint::hash, 101, 1));
    }

    @Test
    void noRowContainsAnEndpointTwice() {
        Endpoint[] table = MaglevTable.build(endpoints(10), Endpoint::hash, 101, 4);
        for (int rowStart = 0; rowStart < table.length; rowStart += 4) {
            List<Endpoint> entries = Arrays.asList(table).subList(rowStart, Math.min(rowStart + 4, table.length));
            assertEquals(entries.size(), new HashSet<>(entries).size());
        }
    }

    @Test
    void entriesThatNoEndpointMayClaimAreNull() {
        Endpoint[] endpoints = endpoints(2);
        Endpoint[] table = MaglevTable.build(endpoints, Endpoint::hash, 7, 3);
        for (int rowStart = 0; rowStart < 6; rowStart += 3) {
            List<Endpoint> entries = Arrays.asList(table).subList(rowStart, rowStart + 3);
            assertEquals(1, entries.stream().filter(Objects::isNull).count());
            assertEquals(
                    Set.of(endpoints),
                    new HashSet<>(entries.stream().filter(Objects::nonNull).toList()));
        }
    }

    @ParameterizedTest
    @CsvSource({"3, 3", "4, 5", "8, 11", "9, 11", "24, 29", "121, 127", "640, 641"})
    void theNextPrimeIsTheSmallestOneNotBelowTheMinimum(int minimum, int prime) {
        assertEquals(prime, MaglevTable.nextPrime(minimum));
    }
}
