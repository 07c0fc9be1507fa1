package postgrade.load.convert;

import blue.strategic.parquet.Hydrator;
import blue.strategic.parquet.HydratorSupplier;
import blue.strategic.parquet.ParquetReader;
import blue.strategic.parquet.ParquetWriter;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;
import org.apache.parquet.schema.LogicalTypeAnnotation;
import org.apache.parquet.schema.MessageType;
import org.apache.parquet.schema.PrimitiveType.PrimitiveTypeName;
import org.apache.parquet.schema.Types;
import postgrade.trace.TraceJob;
import postgrade.trace.TraceReader;
import postgrade.trace.TraceWriter;
import postgrade.trace.wire.Header;

/** A trace as a Parquet table, one row a job, and back. */
public final class TraceTable {

    private static final MessageType SCHEMA =
            new MessageType(
                    "trace",
                    Types.required(PrimitiveTypeName.INT64).named("number"),
                    Types.required(PrimitiveTypeName.INT64).named("unix_us"),
                    Types.required(PrimitiveTypeName.BINARY)
                            .as(LogicalTypeAnnotation.stringType())
                            .named("class"),
                    Types.optional(PrimitiveTypeName.BINARY)
                            .as(LogicalTypeAnnotation.stringType())
                            .named("tenant"),
                    Types.optional(PrimitiveTypeName.BINARY)
                            .as(LogicalTypeAnnotation.stringType())
                            .named("key"),
                    Types.required(PrimitiveTypeName.INT64).named("deadline_us"),
                    Types.required(PrimitiveTypeName.INT32).named("body_bytes"),
                    Types.required(PrimitiveTypeName.INT32).named("status"),
                    Types.required(PrimitiveTypeName.INT64).named("duration_us"),
                    Types.required(PrimitiveTypeName.INT64).named("first_try"),
                    Types.required(PrimitiveTypeName.INT32).named("attempt"));

    private TraceTable() {}

    static void write(TraceReader r, Path out) throws IOException {
        long start = r.header().getStartUnixMicros();
        try (ParquetWriter<TraceJob> w =
                ParquetWriter.writeFile(
                        SCHEMA,
                        out.toFile(),
                        (j, v) -> {
                            v.write("number", j.number());
                            v.write("unix_us", start + j.atMicros());
                            v.write("class", j.jobClass());
                            if (j.tenant() != null) {
                                v.write("tenant", j.tenant());
                            }
                            if (j.key() != null) {
                                v.write("key", j.key());
                            }
                            v.write("deadline_us", j.deadlineMicros());
                            v.write("body_bytes", j.bodyBytes());
                            v.write("status", j.status());
                            v.write("duration_us", j.durationMicros());
                            v.write("first_try", j.firstTry());
                            v.write("attempt", j.attempt());
                        })) {
            for (TraceJob j = r.next(); j != null; j = r.next()) {
                w.write(j);
            }
        }
    }

    /** Makes a trace of a table that {@link Converter} wrote. Returns the number of jobs. */
    public static long read(Path table, Path trace, String madeBy) throws IOException {
        Hydrator<Map<String, Object>, Map<String, Object>> rows =
                new Hydrator<>() {
                    @Override
                    public Map<String, Object> start() {
                        return new HashMap<>();
                    }

                    @Override
                    public Map<String, Object> add(
                            Map<String, Object> row, String column, Object value) {
                        row.put(column, value);
                        return row;
                    }

                    @Override
                    public Map<String, Object> finish(Map<String, Object> row) {
                        return row;
                    }
                };
        TraceWriter[] w = new TraceWriter[1];
        try (Stream<Map<String, Object>> all =
                ParquetReader.streamContent(table.toFile(), HydratorSupplier.constantly(rows))) {
            long[] start = new long[1];
            for (Map<String, Object> row : (Iterable<Map<String, Object>>) all::iterator) {
                long at = (Long) row.get("unix_us");
                if (w[0] == null) {
                    start[0] = at;
                    w[0] =
                            new TraceWriter(
                                    trace,
                                    Header.newBuilder()
                                            .setMadeBy(madeBy)
                                            .setStartUnixMicros(at)
                                            .build());
                }
                w[0].add(
                        new TraceJob(
                                0,
                                at - start[0],
                                (String) row.get("class"),
                                (String) row.get("tenant"),
                                (String) row.get("key"),
                                (Long) row.get("deadline_us"),
                                (Integer) row.get("body_bytes"),
                                (Integer) row.get("status"),
                                (Long) row.get("duration_us"),
                                (Long) row.get("first_try"),
                                (Integer) row.get("attempt"),
                                0,
                                0));
            }
            if (w[0] == null) {
                w[0] = new TraceWriter(trace, Header.newBuilder().setMadeBy(madeBy).build());
            }
            w[0].close();
            return w[0].jobs();
        } catch (NullPointerException | ClassCastException e) {
            throw new IOException(
                    table + ": not a table of a trace: a column is missing or of another type", e);
        } catch (RuntimeException e) {
            throw new IOException(table + ": not a table of a trace: " + e.getMessage(), e);
        } finally {
            if (w[0] != null) {
                w[0].abandon();
            }
        }
    }
}
