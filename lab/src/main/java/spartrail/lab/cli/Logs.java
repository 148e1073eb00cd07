package spartrail.lab.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.slf4j.LoggerFactory;
import spartrail.lab.file.InvalidInputException;

/** Configures the log on standard error: lines of plain text or of JSON. */
final class Logs {
    private Logs() {}

    static void configure(String format) {
        if (!format.equals("plain") && !format.equals("json")) {
            throw new InvalidInputException("--log: found '" + format + "', plain or json is expected");
        }
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        Encoder<ILoggingEvent> encoder;
        if (format.equals("json")) {
            encoder = new JsonEncoder();
        } else {
            PatternLayoutEncoder plain = new PatternLayoutEncoder();
            plain.setPattern("%d{HH:mm:ss.SSS} %level %logger: %msg%n%ex");
            encoder = plain;
        }
        encoder.setContext(context);
        encoder.start();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setTarget("System.err");
        appender.setEncoder(encoder);
        appender.start();
        context.getLogger("ROOT").addAppender(appender);
        context.getLogger("ROOT").setLevel(Level.INFO);
        for (String verboseLogger : new String[] {"com.networknt", "org.jline", "io.undertow", "org.xnio"}) {
            context.getLogger(verboseLogger).setLevel(Level.WARN);
        }
    }
}
