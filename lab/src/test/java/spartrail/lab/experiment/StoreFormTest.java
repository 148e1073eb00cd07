package spartrail.lab.experiment;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.ResultSet;
import java.sql.ResultSetMetaData;
import java.sql.Statement;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import spartrail.lab.Forms;
import spartrail.lab.file.Document;

/** Reads a store file that version d4872eb wrote, and checks that the present version writes the same rows. */
class StoreFormTest {
    @TempDir
    private Path folder;

    @BeforeEach
    void copyStoreOfEarlierVersion() throws Exception {
        Files.write(folder.resolve("kept.mv.db"), Forms.bytes("experiments.mv.db"));
    }

    private static String describeRuns(ExperimentStore store) throws Exception {
        StringBuilder text = new StringBuilder();
        for (ExperimentStore.Kept kept : store.list()) {
            text.append(kept.id() + " " + kept.name() + " " + kept.startedAt() + " " + kept.runs() + " " + kept.done()
                    + "\n");
            for (ExperimentStore.Run run : store.runs(kept.id())) {
                ExperimentPlan.Cell cell = run.cell();
                text.append("  " + cell.version() + " " + cell.nodes() + " " + cell.times() + " " + cell.seed() + " "
                        + run.report() + "\n");
            }
        }
        return text.toString();
    }

    /**
     * All tables with their columns, types and values; digits of the start time are replaced by 0, as it differs
     * between runs.
     */
    private static String describeRows(Path file) throws Exception {
        StringBuilder text = new StringBuilder();
        try (Connection connection = DriverManager.getConnection("jdbc:h2:file:" + file.toAbsolutePath(), "", "");
                Statement statement = connection.createStatement()) {
            for (String table : new String[] {"form", "experiment", "run"}) {
                ResultSet rows = statement.executeQuery("select * from " + table + " order by 1");
                ResultSetMetaData columns = rows.getMetaData();
                while (rows.next()) {
                    text.append(table);
                    for (int i = 1; i <= columns.getColumnCount(); i++) {
                        String name = columns.getColumnName(i);
                        text.append(' ')
                                .append(name)
                                .append(' ')
                                .append(columns.getColumnTypeName(i))
                                .append(' ');
                        text.append(
                                name.equals("STARTED_AT")
                                        ? rows.getString(i).replaceAll("[0-9]", "0")
                                        : rows.getString(i));
                    }
                    text.append('\n');
                }
            }
        }
        return text.toString();
    }

    /** Writes the same experiments and runs that the file of the earlier version holds. */
    private static void fill(ExperimentStore store) throws Exception {
        long first = store.begin("small", Document.JSON.readTree("{\"name\":\"small\",\"fleet\":{\"servers\":[1]}}"));
        store.complete(
                store.begin(first, new ExperimentPlan.Cell("this", 2, 1.5, 7)),
                (com.fasterxml.jackson.databind.node.ObjectNode)
                        Document.JSON.readTree("{\"fit\":true,\"kinds\":{\"WHOLE\":3,\"PUSHED_BACK\":0}}"));
        store.begin(first, new ExperimentPlan.Cell("old", 1, 1, 8));
        store.begin("empty", Document.JSON.readTree("{}"));
    }

    @Test
    void storeOfEarlierVersionIsRead() throws Exception {
        try (ExperimentStore store = new ExperimentStore(folder.resolve("kept"))) {
            assertThat(describeRuns(store)).isEqualTo(Forms.text("experiments.txt"));
        }
    }

    @Test
    void newStoreHasTheSameRowsAsThatOfEarlierVersion() throws Exception {
        try (ExperimentStore store = new ExperimentStore(folder.resolve("new"))) {
            fill(store);
        }
        assertThat(describeRows(folder.resolve("new"))).isEqualTo(describeRows(folder.resolve("kept")));
    }
}
