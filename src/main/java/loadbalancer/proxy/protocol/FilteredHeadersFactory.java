package loadbalancer.proxy.protocol;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * Creates the headers of received messages. They keep only the fields that the proxy reads. All fields are validated and
 * counted, but an unknown field neither takes up memory nor changes how the decoder finds the end of a message.
 */
public final class FilteredHeadersFactory implements HttpHeadersFactory {
    private static final DefaultHttpHeadersFactory VALIDATION = DefaultHttpHeadersFactory.headersFactory();

    private final Set<String> retainedNames = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
    private final int maxFields;

    /**
     * Creates a factory of headers that keep the fields with these names only.
     *
     * @param maxFields how many fields a message may have, those that are not kept included
     */
    public FilteredHeadersFactory(Collection<? extends CharSequence> retainedNames, int maxFields) {
        this.maxFields = maxFields;
        retainedNames.forEach(name -> this.retainedNames.add(name.toString()));
    }

    @Override
    public HttpHeaders newHeaders() {
        return new FilteredHeaders();
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
        return new FilteredHeaders();
    }

    private final class FilteredHeaders extends DefaultHttpHeaders {
        private int fieldCount;

        FilteredHeaders() {
            super(VALIDATION.getNameValidator(), VALIDATION.getValueValidator());
        }

        @Override
        public HttpHeaders add(CharSequence name, Object value) {
            fieldCount++;
            if (fieldCount > maxFields) {
                throw new TooLongHttpHeaderException("more than " + maxFields + " fields");
            }
            if (retainedNames.contains(name.toString())) {
                return super.add(name, value);
            }
            VALIDATION.getNameValidator().validateName(name);
            VALIDATION.getValueValidator().validate((CharSequence) value);
            return this;
        }
    }
}
