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
 * Stores experiments and their runs in an embedded database of one file. A run is inserted before it starts and its
 * report is added after it has ended, each in a transaction of its own. So the file of a killed process can be opened
 * again, and its last run counts as broken off.
 */
public final class ExperimentStore implements AutoCloseable {
    /** A stored experiment with its number of runs, and how many of them have a report. */
    public record Kept(long id, String name, String startedAt, int runs, int done) {}

    /** One run; its report is null if the run was broken off. */
    public record Run(ExperimentPlan.Cell cell, JsonNode report) {}

    private static final int VERSION = 1;

    private final Connection connection;

    /** Opens the store, or creates it if there is no such file; its folder must exist. */
    public ExperimentStore(Path file) throws SQLException {
        if (file.toAbsolutePath().getParent() == null
                || !Files.isDirectory(file.toAbsolutePath().getParent())) {
            throw new InvalidInputException(file + ": there is no such folder");
        }
        // With the default write delay of H2, a run completed up to half a second before a kill would be lost.
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
                        file + ": has store version " + version + ", this program reads versions up to " + VERSION);
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

    /** Inserts an experiment; returns its id. */
    public long begin(ExperimentPlan plan) throws SQLException {
        return begin(plan.name(), plan.tree());
    }

    /** Inserts an experiment whose plan is not an {@link ExperimentPlan}, such as a cluster's; returns its id. */
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
            return insertAndReturnKey(insert);
        }
    }

    /** Inserts a run that has no report yet; returns its id. */
    public long begin(long experiment, ExperimentPlan.Cell cell) throws SQLException {
        try (PreparedStatement insert = connection.prepareStatement(
                "insert into run (experiment, version, nodes, times," + " seed) values (?, ?, ?, ?, ?)",
                Statement.RETURN_GENERATED_KEYS)) {
            insert.setLong(1, experiment);
            insert.setString(2, cell.version());
            insert.setInt(3, cell.nodes());
            insert.setDouble(4, cell.times());
            insert.setLong(5, cell.seed());
            return insertAndReturnKey(insert);
        }
    }

    private static long insertAndReturnKey(PreparedStatement insert) throws SQLException {
        insert.executeUpdate();
        try (ResultSet keys = insert.getGeneratedKeys()) {
            keys.next();
            return keys.getLong(1);
        }
    }

    /** Adds the report of a run. */
    public void complete(long run, ObjectNode report) throws SQLException {
        try (PreparedStatement update = connection.prepareStatement("update run set report = ? where id = ?")) {
            update.setString(1, report.toString());
            update.setLong(2, run);
            update.executeUpdate();
        }
    }

    /** All experiments, oldest first. */
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

    /** The newest experiment of this name or id. */
    public Kept find(String nameOrId) throws SQLException {
        List<Kept> list = list();
        Kept found = null;
        for (Kept kept : list) {
            if (kept.name().equals(nameOrId) || Long.toString(kept.id()).equals(nameOrId)) {
                found = kept;
            }
        }
        if (found == null) {
            throw new InvalidInputException("no experiment is named '" + nameOrId + "'; there are "
                    + list.stream().map(kept -> kept.id() + " " + kept.name()).toList());
        }
        return found;
    }

    /** The runs of an experiment, in the order in which they were started. */
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

    /** Deletes all but the newest {@code keep} experiments; returns how many were deleted. */
    public int prune(int keep) throws SQLException {
        try (PreparedStatement delete = connection.prepareStatement(
                "delete from experiment where id not in" + " (select id from experiment order by id desc limit ?)")) {
            delete.setInt(1, keep);
            int deleted = delete.executeUpdate();
            try (Statement statement = connection.createStatement()) {
                // Frees the space of the deleted rows in the file.
                statement.execute("checkpoint");
            }
            return deleted;
        }
    }

    @Override
    public void close() throws SQLException {
        try (Statement statement = connection.createStatement()) {
            statement.execute("shutdown compact");
        }
    }
}
