package spartrail.lab.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import spartrail.lab.file.Document;
import spartrail.lab.file.InvalidInputException;

/**
 * Experiments and their runs in an embedded database, one file. A run is entered before it is played and completed
 * after it, each in a transaction of its own: what a killed process leaves opens, and its last run counts as broken off.
 */
public final class ExperimentStore implements AutoCloseable {
    /** What is kept of an experiment. */
    public record Kept(long id, String name, String startedAt, int runs, int done) {}

    /** One run; its report is null where it was broken off. */
    public record Run(ExperimentPlan.Cell cell, JsonNode report) {}

    private static final int VERSION = 1;
    private final Connection connection;

    public ExperimentStore(Path file) throws SQLException {
        if (file.toAbsolutePath().getParent() == null
                || !Files.isDirectory(file.toAbsolutePath().getParent())) {
            throw new InvalidInputException(file + ": there is no such folder");
        }
        // With the default write delay a run that was completed half a second before a kill would be lost.
        connection = DriverManager.getConnection(
                "jdbc:h2:file:" + file.toAbsolutePath() + ";DB_CLOSE_ON_EXIT=FALSE;WRITE_DELAY=0", "", "");
        try (Statement statement = connection.createStatement()) {
            statement.execute("create table if not exists form (version int primary key)");
            ResultSet found = statement.executeQuery("select max(version) from form");
            found.next();
            int version = found.getInt(1);
            if (version > VERSION) {
                connection.close();
                throw new InvalidInputException(
                        file + ": is of form " + version + ", this program knows forms to " + VERSION);
            }
            if (version == 0) {
                statement.execute("create table experiment (id identity primary key, name varchar not null,"
                        + " started_at varchar not null, plan clob not null)");
                statement.execute("create table run (id identity primary key, experiment bigint not null references"
                        + " experiment(id) on delete cascade, version varchar not null, nodes int not null,"
                        + " times double precision not null, seed bigint not null, report clob)");
                statement.execute("insert into form values (" + VERSION + ")");
            }
        }
    }

    public long begin(ExperimentPlan plan) throws SQLException {
        return begin(plan.name(), plan.tree());
    }

    /** An experiment of another kind, such as a rig's; its plan is kept as it is. */
    public long begin(String name, JsonNode plan) throws SQLException {
        try (PreparedStatement insert = connection.prepareStatement(
                "insert into experiment (name, started_at, plan) values (?, ?, ?)", Statement.RETURN_GENERATED_KEYS)) {
            insert.setString(1, name);
            insert.setString(
                    2,
                    Instant.now()
                            .truncatedTo(java.time.temporal.ChronoUnit.SECONDS)
                            .toString());
            insert.setString(3, plan.toString());
            return key(insert);
        }
    }

    public long begin(long experiment, ExperimentPlan.Cell cell) throws SQLException {
        try (PreparedStatement insert = connection.prepareStatement(
                "insert into run (experiment, version, nodes, times," + " seed) values (?, ?, ?, ?, ?)",
                Statement.RETURN_GENERATED_KEYS)) {
            insert.setLong(1, experiment);
            insert.setString(2, cell.version());
            insert.setInt(3, cell.nodes());
            insert.setDouble(4, cell.times());
            insert.setLong(5, cell.seed());
            return key(insert);
        }
    }

    private static long key(PreparedStatement insert) throws SQLException {
        insert.executeUpdate();
        try (ResultSet keys = insert.getGeneratedKeys()) {
            keys.next();
            return keys.getLong(1);
        }
    }

    public void complete(long run, ObjectNode report) throws SQLException {
        try (PreparedStatement update = connection.prepareStatement("update run set report = ? where id = ?")) {
            update.setString(1, report.toString());
            update.setLong(2, run);
            update.executeUpdate();
        }
    }

    public List<Kept> list() throws SQLException {
        List<Kept> list = new ArrayList<>();
        try (Statement statement = connection.createStatement();
                ResultSet rows = statement.executeQuery(
                        "select e.id, e.name, e.started_at, count(r.id), count(r.report) from experiment e left join run r"
                                + " on r.experiment = e.id group by e.id, e.name, e.started_at order by e.id")) {
            while (rows.next()) {
                list.add(new Kept(
                        rows.getLong(1), rows.getString(2), rows.getString(3), rows.getInt(4), rows.getInt(5)));
            }
        }
        return list;
    }

    public Kept find(String words) throws SQLException {
        List<Kept> list = list();
        Kept found = null;
        for (Kept kept : list) {
            if (kept.name().equals(words) || Long.toString(kept.id()).equals(words)) {
                found = kept;
            }
        }
        if (found == null) {
            throw new InvalidInputException("no experiment is named '" + words + "'; there are "
                    + list.stream().map(kept -> kept.id() + " " + kept.name()).toList());
        }
        return found;
    }

    public List<Run> runs(long experiment) throws SQLException, IOException {
        List<Run> runs = new ArrayList<>();
        try (PreparedStatement select = connection.prepareStatement(
                "select version, nodes, times, seed, report from run where experiment = ? order by id")) {
            select.setLong(1, experiment);
            try (ResultSet rows = select.executeQuery()) {
                while (rows.next()) {
                    String report = rows.getString(5);
                    runs.add(new Run(
                            new ExperimentPlan.Cell(
                                    rows.getString(1), rows.getInt(2), rows.getDouble(3), rows.getLong(4)),
                            report == null ? null : Document.JSON.readTree(report)));
                }
            }
        }
        return runs;
    }

    /** Keeps the newest so many experiments; how many went. */
    public int prune(int keep) throws SQLException {
        try (PreparedStatement delete = connection.prepareStatement(
                "delete from experiment where id not in" + " (select id from experiment order by id desc limit ?)")) {
            delete.setInt(1, keep);
            int gone = delete.executeUpdate();
            try (Statement statement = connection.createStatement()) {
                // Gives the room back to the file system.
                statement.execute("checkpoint");
            }
            return gone;
        }
    }

    @Override
    public void close() throws SQLException {
        try (Statement statement = connection.createStatement()) {
            statement.execute("shutdown compact");
        }
    }
}
