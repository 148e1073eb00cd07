package spartrail.endpoint;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import spartrail.endpoint.EndpointRecord.Standing;
import spartrail.endpoint.EndpointRecord.Word;
import spartrail.model.Server;
import spartrail.model.TimerQueue;

/**
 * The view of all servers, merged from sources that disagree.
 *
 * <p>Which rule decides a server's standing; the first that fits does:
 *
 * <pre>
 *  1 the roll says it drains                               DRAINING  at once, over all others
 *  2 the roll says it is gone, or a whole roll lacks it    GONE      at once, over all others; where a whole roll takes a
 *                                                                    shard below the floor, after rollConfirmMs
 *  3 as 1 or 2, and the roll is out                        the same  a tombstone: other sources cannot lift it, but for one
 *                                                                    that left it out for a whole lifetime and names it again
 *  4 the roll lists it                                     LIVE
 *  5 as 4, and the roll is out for longer than freezeMs    SUSPECT   after suspectMs more GONE, where the floor allows
 *  6 another source names it                               LIVE      or JOINING for a while, if it has come and gone before
 *  7 no source names it any more, the floor allows         GONE
 *  8 the same, the floor does not                          LIVE      until confirmed by answers or time
 *  9 those that name it are out                            LIVE      then SUSPECT, then GONE, as in 5
 * </pre>
 *
 * Who it is: the roll's uid; without one, the endpoint. A uid that comes to an endpoint known without one takes that
 * server over; one that comes to the endpoint of another uid is another server, and words without ids go with the
 * endpoint. A server whose start nobody tells counts as started when it was first seen, so it is taken for cold.
 *
 * <p>What a change costs is bounded by the server, its cell and the cells beside it, never by the fleet; a source that goes
 * out costs its own lines.
 */
public class EndpointRegistry {
    private static final double NEVER = Double.MAX_VALUE;

    private final int cells;
    private final int reach;
    private final MergeLimits bounds;
    private final Predicate<String> allowed;
    private final Map<String, EndpointSource> sources = new LinkedHashMap<>();
    private final Map<String, EndpointRecord> byUid = new HashMap<>();
    private final Map<String, EndpointRecord> byEndpoint = new HashMap<>();
    private final Map<String, EndpointRecord> members = new LinkedHashMap<>();
    /** Servers in use by cell, and members by cell. */
    private final int[] live;

    private final Map<Integer, Set<EndpointRecord>> byCell = new HashMap<>();
    private final Set<EndpointRecord> changed = new LinkedHashSet<>();
    private final TimerQueue timetable = new TimerQueue();
    private final Map<EndpointRecord, TimerQueue.Timer> dues = new HashMap<>();
    private double nowMs;
    private long refused;
    private long notAllowed;
    private long heldByFloor;
    private long lifted;
    private long flapsDamped;
    private long steps;

    /** Shard s is held by the cells (s + j) mod cells, j from 0 to reach - 1; endpoints that are not allowed are refused. */
    public EndpointRegistry(int cells, int reach, MergeLimits bounds, Predicate<String> allowed) {
        this.cells = Math.max(1, cells);
        this.reach = Math.max(1, Math.min(reach, this.cells));
        this.bounds = bounds;
        this.allowed = allowed;
        this.live = new int[this.cells];
    }

    /** The source of this name; a new one counts as out until it says something. */
    public EndpointSource source(String name, EndpointSource.Kind kind, double atMs) {
        return sources.computeIfAbsent(name, key -> new EndpointSource(key, kind, atMs));
    }

    // ---- News ----

    /** A source says this; where it is all that it knows, what it lacks is left out. */
    public void said(EndpointSource source, boolean whole, List<SourceReport> lines, double lifetimeMs, double atMs) {
        nowMs = atMs;
        boolean back = !source.in;
        source.in = true;
        source.lifetimeMs = lifetimeMs;
        if (Double.isNaN(source.firstAnswerMs)) {
            source.firstAnswerMs = atMs;
        }
        Set<EndpointRecord> touched = new LinkedHashSet<>();
        Set<EndpointRecord> named = new LinkedHashSet<>();
        for (SourceReport line : lines) {
            EndpointRecord member = member(source, line);
            if (member != null) {
                named.add(member);
                if (word(source, member, line)) {
                    touched.add(member);
                }
            }
        }
        if (whole) {
            source.answers++;
            for (Map.Entry<EndpointRecord, Word> entry : List.copyOf(source.words.entrySet())) {
                if (!named.contains(entry.getKey()) && leftOut(entry.getValue())) {
                    touched.add(entry.getKey());
                }
            }
        }
        if (back) {
            touched.addAll(source.words.keySet());
        }
        // Danger: one that goes now because it is confirmed must not count for the floor of one that is left out first
        // now.
        touched.stream()
                .sorted(Comparator.comparingInt((EndpointRecord member) -> {
                    Word word = member.words.get(source);
                    return word == null ? 0 : -word.absentAnswers;
                }))
                .toList()
                .forEach(this::judge);
    }

    /** A source does not answer. */
    public void out(EndpointSource source, double atMs) {
        nowMs = atMs;
        if (source.in) {
            source.in = false;
            source.outSinceMs = atMs;
            // Absences that only its further answers could confirm wait for it.
            List.copyOf(source.words.keySet()).forEach(this::judge);
        }
    }

    /** Does what is due by now. */
    public void advance(double atMs) {
        nowMs = atMs;
        timetable.runDue(atMs);
    }

    public double nextMs() {
        return timetable.nextDueMs();
    }

    // ---- Who ----

    private EndpointRecord member(EndpointSource source, SourceReport said) {
        if (said.endpoint() != null && !allowed.test(said.endpoint())) {
            notAllowed++;
            return null;
        }
        EndpointRecord known = said.id() != null ? byUid.get(said.id()) : byEndpoint.get(said.endpoint());
        if (known == null && said.id() != null && said.endpoint() != null) {
            EndpointRecord there = byEndpoint.get(said.endpoint());
            if (there != null && there.uid == null) {
                known = there;
                known.uid = said.id();
                byUid.put(said.id(), known);
            }
        }
        if (known == null) {
            if (said.endpoint() == null
                    || said.cell() < 0
                    || said.cell() >= cells
                    || members.size() >= bounds.mostMembers()) {
                refused++;
                return null;
            }
            known = new EndpointRecord(said.id() != null ? said.id() : said.endpoint(), said.endpoint(), nowMs);
            // Danger: the name of one that was known by its endpoint may be taken by another's uid.
            if (members.containsKey(known.id)) {
                refused++;
                return null;
            }
            known.uid = said.id();
            members.put(known.id, known);
            if (said.id() != null) {
                byUid.put(said.id(), known);
            }
            settle(known, said.endpoint());
        } else if (said.endpoint() != null && !said.endpoint().equals(known.endpoint)) {
            byEndpoint.remove(known.endpoint, known);
            settle(known, said.endpoint());
        }
        return known;
    }

    /** It is at this endpoint from now on; whoever was there before is not, and words without ids stay with the endpoint. */
    private void settle(EndpointRecord member, String endpoint) {
        EndpointRecord before = byEndpoint.put(endpoint, member);
        member.endpoint = endpoint;
        if (before != null && before != member) {
            for (Map.Entry<EndpointSource, Word> entry : List.copyOf(before.words.entrySet())) {
                if (entry.getKey().kind != EndpointSource.Kind.ROLL) {
                    before.words.remove(entry.getKey());
                    entry.getKey().words.remove(before);
                    member.words.put(entry.getKey(), entry.getValue());
                    entry.getKey().words.put(member, entry.getValue());
                }
            }
            judge(before);
        }
    }

    // ---- Words ----

    /** Whether it is news. */
    private boolean word(EndpointSource source, EndpointRecord member, SourceReport said) {
        Word word = member.words.get(source);
        boolean first = word == null;
        if (first) {
            word = new Word();
            word.sinceMs = nowMs;
            member.words.put(source, word);
            source.words.put(member, word);
        }
        boolean again = first || word.absent();
        double leftOutSinceMs = first ? source.firstAnswerMs : word.absentSinceMs;
        boolean same = !again && said.equals(word.said);
        if (!same && !first && said.state() != word.said.state()) {
            word.sinceMs = nowMs;
        }
        word.said = said;
        word.absentSinceMs = Double.NaN;
        word.absentAnswers = 0;
        word.gone = false;
        if (said.tellsStart() && !(said.bornMs() <= member.bornMs)) {
            member.bornMs = said.bornMs();
        }
        if (again && source.kind != EndpointSource.Kind.ROLL && mayLift(source, member, leftOutSinceMs)) {
            lift(member);
        }
        return !same;
    }

    /** A whole answer lacks it; whether that is to be judged. */
    private boolean leftOut(Word word) {
        if (word.gone) {
            return false;
        }
        if (!word.absent()) {
            word.absentSinceMs = nowMs;
        }
        word.absentAnswers++;
        return true;
    }

    /** Danger: a source that never heard of the roll's drain would bring a drained server back. */
    boolean mayLift(EndpointSource source, EndpointRecord member, double leftOutSinceMs) {
        Word roll = member.word(EndpointSource.Kind.ROLL);
        if (roll == null || !roll.gone && roll.said.state() == Server.State.LIVE) {
            return false;
        }
        double tombMs = roll.said.state() == Server.State.LIVE ? roll.absentSinceMs : roll.sinceMs;
        return rollOut() && nowMs - Math.max(leftOutSinceMs, tombMs) >= source.lifetimeMs;
    }

    private void lift(EndpointRecord member) {
        lifted++;
        sources.values().stream()
                .filter(source -> source.kind == EndpointSource.Kind.ROLL)
                .forEach(roll -> {
                    roll.words.remove(member);
                    member.words.remove(roll);
                });
        member.seenMs = nowMs;
        member.bornMs = Double.NaN;
    }

    private boolean rollOut() {
        return sources.values().stream().noneMatch(source -> source.kind == EndpointSource.Kind.ROLL && source.in);
    }

    // ---- Judgement ----

    /** A standing with the rule that made it, and when it may change by itself. */
    private record Verdict(Standing standing, String rule, double againMs) {}

    private void judge(EndpointRecord member) {
        steps++;
        Verdict verdict = verdict(member);
        move(member, verdict.standing(), verdict.rule());
        TimerQueue.Timer due = dues.remove(member);
        if (due != null) {
            timetable.cancel(due);
        }
        if (verdict.againMs() < NEVER) {
            dues.put(member, timetable.schedule(verdict.againMs(), () -> {
                dues.remove(member);
                judge(member);
            }));
        }
    }

    private Verdict verdict(EndpointRecord member) {
        EndpointSource rollSource = null;
        Word roll = null;
        for (Map.Entry<EndpointSource, Word> entry : member.words.entrySet()) {
            if (entry.getKey().kind == EndpointSource.Kind.ROLL) {
                rollSource = entry.getKey();
                roll = entry.getValue();
            }
        }
        if (roll != null) {
            Verdict said = byRoll(member, rollSource, roll);
            if (said != null) {
                return said;
            }
        }
        return byOthers(member);
    }

    private Verdict byRoll(EndpointRecord member, EndpointSource source, Word roll) {
        String tomb = source.in ? "" : ", a tombstone while the roll is out";
        if (roll.said.state() == Server.State.DRAINING) {
            return new Verdict(Standing.DRAINING, "1 the roll says it drains" + tomb, NEVER);
        }
        if (roll.said.state() == Server.State.GONE || roll.gone) {
            return forgetting(member, "2 the roll says it is gone" + tomb);
        }
        if (roll.absent()) {
            double confirmedMs = roll.absentSinceMs + bounds.rollConfirmMs();
            if (nowMs >= confirmedMs || floorAllows(member)) {
                roll.gone = true;
                return forgetting(member, "2 a whole roll lacks it" + tomb);
            }
            heldByFloor++;
            return new Verdict(
                    Standing.LIVE, "2 a whole roll lacks it, held for the floor until confirmed", confirmedMs);
        }
        if (source.in) {
            return new Verdict(Standing.LIVE, "4 the roll lists it", NEVER);
        }
        return others(member) ? null : frozen(member, lastOutMs(member), "5 the roll listed it and is out");
    }

    /** When the last of the sources that name it went out. */
    private static double lastOutMs(EndpointRecord member) {
        return member.words.entrySet().stream()
                .filter(entry -> !entry.getValue().absent())
                .mapToDouble(entry -> entry.getKey().outSinceMs)
                .max()
                .orElse(0);
    }

    /** Whether a source other than the roll names it and answers. */
    private static boolean others(EndpointRecord member) {
        return member.words.entrySet().stream()
                .anyMatch(entry -> entry.getKey().kind != EndpointSource.Kind.ROLL
                        && entry.getKey().in
                        && !entry.getValue().absent());
    }

    private Verdict byOthers(EndpointRecord member) {
        EndpointSource names = null;
        Word held = null;
        double outSinceMs = Double.NEGATIVE_INFINITY;
        boolean frozen = false;
        double confirmMs = nowMs;
        for (Map.Entry<EndpointSource, Word> entry : member.words.entrySet()) {
            EndpointSource source = entry.getKey();
            Word word = entry.getValue();
            if (word.gone || source.kind == EndpointSource.Kind.ROLL && source.in) {
                continue;
            }
            if (!source.in) {
                frozen |= !word.absent();
                outSinceMs = word.absent() ? outSinceMs : Math.max(outSinceMs, source.outSinceMs);
            } else if (!word.absent()) {
                names = source;
            }
            if (word.absent()) {
                held = word;
                // The last of them to be confirmed: until then looking again would change nothing.
                confirmMs = Math.max(confirmMs, word.absentSinceMs + bounds.confirmMs());
            }
        }
        if (names != null) {
            if (member.standing == Standing.GONE
                    || member.standing == Standing.UNKNOWN
                    || member.standing == Standing.JOINING) {
                return joining(member, names);
            }
            return new Verdict(Standing.LIVE, "6 " + names + " names it", NEVER);
        }
        if (frozen) {
            return frozen(member, outSinceMs, "9 those that name it are out");
        }
        if (held != null && member.inUse() && !floorAllows(member) && !confirmed(member)) {
            heldByFloor++;
            return new Verdict(Standing.LIVE, "8 no source names it, held for the floor until confirmed", confirmMs);
        }
        member.words.forEach((source, word) -> word.gone |= word.absent());
        return forgetting(member, "7 no source names it any more");
    }

    private Verdict joining(EndpointRecord member, EndpointSource names) {
        if (member.standing == Standing.JOINING) {
            return nowMs >= member.joinAtMs
                    ? new Verdict(Standing.LIVE, "6 " + names + " names it", NEVER)
                    : new Verdict(Standing.JOINING, member.rule, member.joinAtMs);
        }
        member.seenMs = nowMs;
        if (member.standing == Standing.UNKNOWN) {
            return new Verdict(Standing.LIVE, "6 " + names + " names it", NEVER);
        }
        double waitMs = flapWait(member);
        if (waitMs <= 0) {
            return new Verdict(Standing.LIVE, "6 " + names + " names it", NEVER);
        }
        flapsDamped++;
        member.joinAtMs = nowMs + waitMs;
        return new Verdict(
                Standing.JOINING,
                String.format(
                        Locale.ROOT, "6 %s names it again, it waits %.0f ms as it has come and gone", names, waitMs),
                member.joinAtMs);
    }

    /** How long one that comes back waits; not at all where a shard has nobody else. */
    double flapWait(EndpointRecord member) {
        if (!atFloor(member.cell, bounds.floor())) {
            return 0;
        }
        double lately = member.flaps * Math.pow(0.5, (nowMs - member.flapMs) / bounds.flapForgetMs());
        return lately < 0.5 ? 0 : Math.min(bounds.flapMostMs(), bounds.flapMs() * Math.pow(2, Math.round(lately) - 1));
    }

    private Verdict frozen(EndpointRecord member, double outSinceMs, String why) {
        double suspectMs = outSinceMs + bounds.freezeMs();
        if (nowMs < suspectMs) {
            return new Verdict(
                    member.inUse() || member.standing == Standing.UNKNOWN ? Standing.LIVE : member.standing,
                    why + ", its word still holds",
                    suspectMs);
        }
        double endMs = suspectMs + bounds.suspectMs();
        if (nowMs < endMs || member.inUse() && !floorAllows(member)) {
            // Looked at again from time to time: the floor may allow it later.
            return new Verdict(
                    Standing.SUSPECT,
                    why + " for too long",
                    nowMs < endMs ? endMs : nowMs + Math.max(1000, bounds.suspectMs()));
        }
        return forgetting(member, why + " for far too long");
    }

    private boolean confirmed(EndpointRecord member) {
        for (Map.Entry<EndpointSource, Word> entry : member.words.entrySet()) {
            Word word = entry.getValue();
            if (word.absent() && !word.gone && !isConfirmed(word)) {
                return false;
            }
        }
        return true;
    }

    boolean isConfirmed(Word word) {
        return word.absentAnswers >= bounds.confirmAnswers() || nowMs >= word.absentSinceMs + bounds.confirmMs();
    }

    /** Whether each shard that it holds keeps its floor of servers in use without it. */
    boolean floorAllows(EndpointRecord member) {
        if (!member.counted) {
            return true;
        }
        return atFloor(member.cell, bounds.floor() + 1);
    }

    /** Whether each shard that the cell holds has so many servers in use. */
    private boolean atFloor(int ofCell, int least) {
        for (int first = ofCell - reach + 1; first <= ofCell; first++) {
            int count = 0;
            for (int cell = first; cell < first + reach; cell++) {
                count += live[Math.floorMod(cell, cells)];
            }
            if (count < least) {
                return false;
            }
        }
        return true;
    }

    /** Gone; it is forgotten altogether when nobody speaks of it any more. */
    private Verdict forgetting(EndpointRecord member, String rule) {
        double sinceMs = member.standing == Standing.GONE ? member.sinceMs : nowMs;
        // Danger: a tombstone that is forgotten while another source still names the server would let it back.
        boolean named = member.words.values().stream()
                .anyMatch(word -> !word.absent() && word.said.state() == Server.State.LIVE);
        if (nowMs >= sinceMs + bounds.keptMs() && !rollOut() && !named) {
            forget(member);
            return new Verdict(Standing.GONE, rule, NEVER);
        }
        return new Verdict(Standing.GONE, rule, Math.max(nowMs, sinceMs) + bounds.keptMs());
    }

    private void forget(EndpointRecord member) {
        members.remove(member.id, member);
        byUid.remove(member.uid, member);
        byEndpoint.remove(member.endpoint, member);
        member.words.keySet().forEach(source -> source.words.remove(member));
        cell(member.cell).remove(member);
    }

    // ---- What follows ----

    private void move(EndpointRecord member, Standing standing, String rule) {
        if (standing != member.standing) {
            if (standing == Standing.GONE && member.standing != Standing.JOINING) {
                member.flaps = member.flaps * Math.pow(0.5, (nowMs - member.flapMs) / bounds.flapForgetMs()) + 1;
                member.flapMs = nowMs;
            }
            member.standing = standing;
            member.sinceMs = nowMs;
        }
        member.rule = rule;
        SourceReport best = member.best();
        int cell = best == null ? member.cell : best.cell();
        if (member.counted) {
            live[member.cell]--;
        }
        if (cell != member.cell) {
            cell(member.cell).remove(member);
            member.cell = cell;
        }
        cell(cell).add(member);
        member.counted = member.inUse();
        if (member.counted) {
            live[member.cell]++;
        }
        hand(cell(member.cell));
    }

    private Set<EndpointRecord> cell(int cell) {
        return byCell.computeIfAbsent(cell, key -> new LinkedHashSet<>());
    }

    /** What the module is to know of the servers of one cell: those of its best tier, the others when there is nobody. */
    private void hand(Collection<EndpointRecord> cell) {
        int best = cell.stream()
                .filter(EndpointRecord::inUse)
                .map(EndpointRecord::best)
                .filter(said -> said != null)
                .mapToInt(SourceReport::tier)
                .min()
                .orElse(0);
        for (EndpointRecord member : cell) {
            SourceReport said = member.best();
            if (said == null) {
                said = member.handed;
            }
            if (said == null) {
                continue;
            }
            member.standby = member.inUse() && said.tier() > best;
            Server.State state = member.standby ? Server.State.DRAINING : EndpointRecord.state(member.standing);
            double bornMs = Double.isNaN(member.bornMs) ? member.seenMs : member.bornMs;
            SourceReport line = new SourceReport(
                    member.id,
                    member.endpoint,
                    said.zone(),
                    said.kind(),
                    said.cell(),
                    state,
                    said.rating(),
                    bornMs,
                    said.tier());
            boolean unknown = member.handed == null && state == Server.State.GONE;
            if (!unknown && !line.equals(member.handed)) {
                member.handed = line;
                changed.add(member);
            }
        }
    }

    /** Lines that are others than when this was last asked. */
    public List<SourceReport> changes() {
        List<SourceReport> lines = new ArrayList<>();
        changed.forEach(member -> lines.add(member.handed));
        changed.clear();
        return lines;
    }

    // ---- For operators and snapshots ----

    public Collection<EndpointRecord> members() {
        return members.values();
    }

    public Collection<EndpointSource> sources() {
        return sources.values();
    }

    /** By name, uid or endpoint; null if there is none. */
    public EndpointRecord find(String words) {
        EndpointRecord member = members.get(words);
        member = member == null ? byUid.get(words) : member;
        return member == null ? byEndpoint.get(words) : member;
    }

    /** What each source says of it, the rule that decided, and since when. */
    public String explain(EndpointRecord member, double atMs) {
        StringBuilder out = new StringBuilder(String.format(
                Locale.ROOT,
                "%s%s at %s, cell %d: %s%s since %.1f s%n  rule: %s%n",
                member.id,
                member.uid == null || member.uid.equals(member.id) ? "" : " (" + member.uid + ")",
                member.endpoint,
                member.cell,
                member.standing,
                member.standby ? " (standby)" : "",
                (atMs - member.sinceMs) / 1000,
                member.rule));
        member.words.forEach((source, word) -> out.append(String.format(
                Locale.ROOT,
                "  %s (%s): %s%s%n",
                source,
                source.in ? "answers" : String.format(Locale.ROOT, "out for %.1f s", (atMs - source.outSinceMs) / 1000),
                word.said.state(),
                word.absent()
                        ? String.format(
                                Locale.ROOT,
                                ", left out for %.1f s by %d answers",
                                (atMs - word.absentSinceMs) / 1000,
                                word.absentAnswers)
                        : "")));
        return out.append(String.format(
                        Locale.ROOT,
                        "  start: %s%n",
                        Double.isNaN(member.bornMs)
                                ? "nobody tells; taken for cold from when it was seen"
                                : member.bornMs < 0 ? "long ago" : "told"))
                .toString();
    }

    /** Counts by name, for logs. */
    public Map<String, Long> counts() {
        Map<String, Long> counts = new LinkedHashMap<>();
        counts.put("members", (long) members.size());
        counts.put("refused", refused);
        counts.put("not allowed", notAllowed);
        counts.put("held by the floor", heldByFloor);
        counts.put("tombstones lifted", lifted);
        counts.put("flaps damped", flapsDamped);
        counts.put("judgements", steps);
        return counts;
    }

    /** What a snapshot keeps of one source's word on one server; absences and tombstones are kept with it. */
    public record Kept(
            String source,
            EndpointSource.Kind kind,
            String id,
            String endpoint,
            SourceReport said,
            boolean gone,
            double seenMs) {}

    public List<Kept> snapshot() {
        List<Kept> kept = new ArrayList<>();
        for (EndpointRecord member : members.values()) {
            member.words.forEach((source, word) -> kept.add(new Kept(
                    source.name, source.kind, member.id, member.endpoint, word.said, word.gone, member.seenMs)));
        }
        return kept;
    }

    /** Takes up a snapshot that was saved then; its sources count as out since, until they answer. */
    public void restore(List<Kept> kept, double savedMs, double atMs) {
        nowMs = atMs;
        Set<EndpointRecord> touched = new LinkedHashSet<>();
        for (Kept line : kept) {
            EndpointSource source = source(line.source(), line.kind(), savedMs);
            source.outSinceMs = Math.min(source.outSinceMs, savedMs);
            EndpointRecord member = members.get(line.id());
            if (member == null) {
                // What ends a server need not tell where it was.
                SourceReport said = line.said();
                member = member(
                        source,
                        new SourceReport(
                                said.id(),
                                line.endpoint(),
                                said.zone(),
                                said.kind(),
                                said.cell(),
                                said.state(),
                                said.rating(),
                                said.bornMs(),
                                said.tier()));
            }
            if (member == null) {
                continue;
            }
            word(source, member, line.said());
            member.words.get(source).gone = line.gone();
            if (line.gone()) {
                member.words.get(source).absentSinceMs = savedMs;
            }
            member.seenMs = Math.min(member.seenMs, line.seenMs());
            touched.add(member);
        }
        touched.forEach(this::judge);
    }
}
