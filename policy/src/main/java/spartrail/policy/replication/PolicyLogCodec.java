package spartrail.policy.replication;

import java.util.ArrayList;
import java.util.List;
import spartrail.model.MalformedMessageException;
import spartrail.policy.LogOperation;
import spartrail.policy.PolicyLogSnapshot;
import spartrail.policy.PolicyVersion;

/** Encodes the values of the policy log: operations, versions and snapshots. */
final class PolicyLogCodec {
    private PolicyLogCodec() {}

    /** Writes the values of an operation. */
    static void writeOperation(CborArrayWriter out, LogOperation operation) {
        out.text(operation.kind().wireName())
                .number(operation.proposalNumber())
                .text(operation.text())
                .text(operation.issuer())
                .text(operation.token());
    }

    /** Reads the values of an operation after its kind. */
    static LogOperation readOperation(String kind, CborArrayReader in) throws MalformedMessageException {
        return new LogOperation(parseOperationKind(kind), in.nextLong(), in.nextText(), in.nextText(), in.nextText());
    }

    /** The kind of operation with this wire name. */
    static LogOperation.Kind parseOperationKind(String wireName) throws MalformedMessageException {
        for (LogOperation.Kind kind : LogOperation.Kind.values()) {
            if (kind.wireName().equals(wireName)) {
                return kind;
            }
        }
        throw new MalformedMessageException("found an operation of kind " + wireName + ", one of "
                + List.of(LogOperation.Kind.values()) + " is expected");
    }

    /** Writes the values of a version. */
    static void writeVersion(CborArrayWriter out, PolicyVersion version) {
        out.number(version.number())
                .text(version.settings())
                .text(version.proposer())
                .text(version.stage().name())
                .text(version.reason())
                .text(version.token());
    }

    /** Reads a version from the next values. */
    static PolicyVersion readVersion(CborArrayReader in) throws MalformedMessageException {
        return new PolicyVersion(
                in.nextLong(),
                in.nextText(),
                in.nextText(),
                parseConstant(PolicyVersion.Stage.class, in.nextText()),
                in.nextText(),
                in.nextText());
    }

    /** Writes a version as an array, or an empty text for null. */
    static void writeVersionOrNone(CborArrayWriter out, PolicyVersion version) {
        if (version == null) {
            out.text("");
        } else {
            out.array(values -> writeVersion(values, version));
        }
    }

    /** Reads a version that is the next value, or null if that is not an array. */
    static PolicyVersion readVersionOrNull(CborArrayReader in) throws MalformedMessageException {
        CborArrayReader version = in.nextArrayOrNull();
        return version == null ? null : readVersion(version);
    }

    /** Writes the values of a snapshot. */
    static void writeSnapshot(CborArrayWriter out, PolicyLogSnapshot snapshot) {
        out.number(snapshot.lastNumber())
                .array(version -> writeVersion(version, snapshot.active()))
                .array(finished -> snapshot.finished()
                        .forEach(version -> finished.array(values -> writeVersion(values, version))));
        writeVersionOrNone(out, snapshot.pending());
    }

    /** Reads a snapshot from the next values. */
    static PolicyLogSnapshot readSnapshot(CborArrayReader in) throws MalformedMessageException {
        long lastNumber = in.nextLong();
        PolicyVersion active = readVersion(in.nextArray());
        List<PolicyVersion> finished = new ArrayList<>();
        for (CborArrayReader versions = in.nextArray(); versions.hasNext(); ) {
            finished.add(readVersion(versions.nextArray()));
        }
        return new PolicyLogSnapshot(lastNumber, active, finished, readVersionOrNull(in));
    }

    /** The enum constant with this name. */
    static <T extends Enum<T>> T parseConstant(Class<T> type, String name) throws MalformedMessageException {
        try {
            return Enum.valueOf(type, name);
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException(
                    "found " + name + ", one of " + List.of(type.getEnumConstants()) + " is expected", e);
        }
    }
}
