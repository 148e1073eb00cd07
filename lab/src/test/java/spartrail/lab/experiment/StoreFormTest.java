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

/** A store of experiments that version d4872eb wrote is read as before, and the same rows are written. */
class StoreFormTest {
    @TempDir
    private Path folder;

    @BeforeEach
    void copyTheKeptStore() throws Exception {
        Files.write(folder.resolve("kept.mv.db"), Forms.bytes("experiments.mv.db"));
    }

    private static String read(ExperimentStore store) throws Exception {
        StringBuilder seen = new StringBuilder();
        for (ExperimentStore.Kept kept : store.list()) {
            seen.append(kept.id() + " " + kept.name() + " " + kept.startedAt() + " " + kept.runs() + " " + kept.done()
                    + "\n");
            for (ExperimentStore.Run run : store.runs(kept.id())) {
                ExperimentPlan.Cell cell = run.cell();
                seen.append("  " + cell.version() + " " + cell.nodes() + " " + cell.times() + " " + cell.seed() + " "
                        + run.report() + "\n");
            }
        }
        return seen.toString();
    }

    /** Tables, columns and values as they stand; the time of the start is the test's own. */
    private static String rows(Path file) throws Exception {
        StringBuilder seen = new StringBuilder();
        try (Connection connection = DriverManager.getConnection("jdbc:h2:file:" + file.toAbsolutePath(), "", "");
                Statement statement = connection.createStatement()) {
            for (String table : new String[] {"form", "experiment", "run"}) {
                ResultSet rows = statement.executeQuery("select * from " + table + " order by 1");
                ResultSetMetaData columns = rows.getMetaData();
                while (rows.next()) {
                    seen.append(table);
                    for (int i = 1; i <= columns.getColumnCount(); i++) {
                        String name = columns.getColumnName(i);
                        seen.append(' ')
                                .append(name)
                                .append(' ')
                                .append(columns.getColumnTypeName(i))
                                .append(' ');
                        seen.append(
                                name.equals("STARTED_AT")
                                        ? rows.getString(i).replaceAll("[0-9]", "0")
                                        : rows.getString(i));
                    }
                    seen.append('\n');
                }
            }
        }
        return seen.toString();
    }

    /** What the kept store was filled with. */
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
    void aKeptStoreIsReadAsBefore() throws Exception {
        try (ExperimentStore store = new ExperimentStore(folder.resolve("kept"))) {
            assertThat(read(store)).isEqualTo(Forms.text("experiments.txt"));
        }
    }

    @Test
    void aNewStoreHoldsTheSameRows() throws Exception {
        try (ExperimentStore store = new ExperimentStore(folder.resolve("new"))) {
            fill(store);
        }
        assertThat(rows(folder.resolve("new"))).isEqualTo(rows(folder.resolve("kept")));
    }
}
