import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A subscriber's receiver by the rules of docs/subscribers.md: it stores each notification with its
 * position, applies only the next one, and answers with its position. What it has stored outlives a
 * crash.
 */
final class Receiver {
  private final Record record;
  private final int port;
  private HttpServer server;
  private boolean up;
  private long position;

  /** How often the final answer of each job was recorded. */
  private final Map<String, Integer> answers = new LinkedHashMap<>();

  private final List<String> lost = new ArrayList<>();

  /** The position after which the receiver crashes; 0 for none. */
  private long crashAfter;

  Receiver(Record record, int port) {
    this.record = record;
    this.port = port;
  }

  synchronized void start() throws IOException {
    up = true;
    server = Http.serve(port, (method, path, body) -> receive(body));
    record.add("receiver is up at position " + position);
  }

  /** Ends the receiver; connections are refused until it is started again. */
  synchronized void crash() {
    up = false;
    record.say("receiver crashes at position " + position);
    Http.THREADS.execute(() -> server.stop(0));
  }

  /** Lets the receiver crash once it has recorded the event with this sequence. */
  synchronized void crashAfter(long sequence) {
    crashAfter = sequence;
  }

  private Http.Answer receive(String body) {
    synchronized (this) {
      if (!up) {
        return Http.Answer.NONE;
      }
      Map<String, Object> event = Json.object(body);
      long sequence = Long.parseLong((String) event.get("sequence"));
      boolean isLoss = event.get("type").equals("io.pineladder.notices.lost");
      Map<?, ?> data = (Map<?, ?>) event.get("data");
      long first = isLoss ? (Long) data.get("first") : sequence;
      if (first > position + 1) {
        record.add("event " + sequence + " refused at position " + position);
        return new Http.Answer(409, "{\"position\":" + position + "}");
      }
      if (sequence <= position) {
        return new Http.Answer(200, "{\"position\":" + position + "}");
      }
      position = sequence;
      if (isLoss) {
        lost.add(first + " to " + sequence);
        record.say("event: the final answers " + first + " to " + sequence + " are lost");
      } else {
        answers.merge((String) data.get("job"), 1, Integer::sum);
        record.add("event " + sequence + ": " + data.get("job") + " " + data.get("answer"));
      }
      if (crashAfter > 0 && sequence >= crashAfter) {
        crashAfter = 0;
        crash();
      }
      return new Http.Answer(200, "{\"position\":" + position + "}");
    }
  }

  synchronized long position() {
    return position;
  }

  synchronized Map<String, Integer> answers() {
    return new LinkedHashMap<>(answers);
  }

  synchronized List<String> lost() {
    return List.copyOf(lost);
  }
}
