package spartrail.dns;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.xbill.DNS.Name;

/** Cache entries by name and type. */
final class RecordCache {
    private final Map<String, CacheEntry> entries = new HashMap<>();

    /** The key of a name and type; names are not case-sensitive. */
    static String key(Name name, int type) {
        return type + " " + name.toString().toLowerCase(Locale.ROOT);
    }

    CacheEntry getOrCreate(Name name, int type) {
        return entries.computeIfAbsent(key(name, type), key -> new CacheEntry(name, type));
    }

    /** The entry, or null. */
    CacheEntry find(Name name, int type) {
        return entries.get(key(name, type));
    }

    void remove(CacheEntry entry) {
        entries.remove(key(entry.name(), entry.type()), entry);
    }

    int size() {
        return entries.size();
    }
}
