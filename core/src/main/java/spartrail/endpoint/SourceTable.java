package spartrail.endpoint;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/** All sources of a registry, by name. */
final class SourceTable {
    private final Map<String, EndpointSource> sources = new LinkedHashMap<>();

    EndpointSource getOrCreate(String name, EndpointSource.Kind kind, double nowMs) {
        return sources.computeIfAbsent(name, key -> new EndpointSource(key, kind, nowMs));
    }

    Collection<EndpointSource> all() {
        return sources.values();
    }

    boolean isDiscoveryAvailable() {
        return sources.values().stream().anyMatch(source -> source.isDiscovery() && source.isAvailable());
    }
}
