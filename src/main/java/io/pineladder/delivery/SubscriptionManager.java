package io.pineladder.delivery;

import static io.pineladder.net.HttpResponses.error;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.admin.Metrics;
import io.pineladder.model.DeliveryProgress;
import io.pineladder.model.Subscription;
import io.pineladder.net.EventLoop;
import io.pineladder.net.HttpResponse;
import io.pineladder.net.HttpResponses;
import io.pineladder.store.Mutation;
import io.pineladder.store.RecordKeys;
import io.pineladder.wire.DeliveryWire;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedMessageException;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import java.util.regex.Pattern;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Subscriptions in one term: the administration of them, and the sending where it is switched on.
 */
public final class SubscriptionManager {
  private static final Logger log = LoggerFactory.getLogger(SubscriptionManager.class);

  /** Below the administration API's prefix. */
  public static final String PATH = "subscriptions";

  public static final String NETWORKS_PATH = "networks";

  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

  /** More would take more room in the store and more of each end's time. */
  static final int MOST = 256;

  private static final int MOST_FILTERS = 16;

  /** What a record may still grow by: a status with its reason. */
  private static final int GROWTH = 512;

  private static final int MOST_REASON = 300;
  private static final int MOST_NETWORKS = 64;
  private static final Duration STORE_TIMEOUT = Duration.ofSeconds(3);

  private final DeliveryContext delivery;
  private final NotificationOutbox outbox;
  private final EventLoop eventLoop;
  private final Consumer<Mutation> commit;
  private final int valueBytes;
  private final DeliveryDispatcher deliveries;

  /**
   * The subscriptions of a term.
   *
   * @param delivery null where it is switched off: notices are kept then and not sent
   */
  public SubscriptionManager(
      DeliveryContext delivery,
      NotificationOutbox outbox,
      EventLoop eventLoop,
      Consumer<Mutation> commit,
      int valueBytes,
      BooleanSupplier mayAct) {
    this.valueBytes = valueBytes;
    this.delivery = delivery;
    this.outbox = outbox;
    this.eventLoop = eventLoop;
    this.commit = commit;
    this.deliveries =
        delivery == null
            ? null
            : new DeliveryDispatcher(delivery, outbox, eventLoop, mayAct, this::settle);
  }

  /** Whether subscriptions can be administered and are served here. */
  public boolean isEnabled() {
    return delivery != null;
  }

  /** Everything has been read and the term has begun. */
  public void start() {
    if (deliveries != null) {
      outbox.subscriptions().values().forEach(deliveries::configure);
    }
  }

  /** More may be sent. */
  public void wake() {
    if (deliveries != null) {
      deliveries.kick();
    }
  }

  // ---- changes

  /** Changes a record from what it is when the change goes to the store. */
  private void change(String name, UnaryOperator<Subscription> change, Runnable onStored) {
    Subscription[] rendered = new Subscription[1];
    Subscription expected = change.apply(outbox.subscriptions().get(name));
    if (expected != null) {
      outbox.expect(expected);
    }
    // With the ends, in their order: an end whose change was begun without a notice goes first.
    commit.accept(
        new Mutation(
            Mutation.Priority.FINAL_STATE,
            List.of(
                new Mutation.Write(
                    RecordKeys.SUBSCRIPTION + name,
                    () -> {
                      Subscription before = outbox.subscriptions().get(name);
                      rendered[0] = change.apply(before);
                      return rendered[0] == null ? null : DeliveryWire.subscription(rendered[0]);
                    })),
            List.of(),
            List.of(),
            () ->
                change.apply(outbox.subscriptions().get(name)) != null
                    || outbox.subscriptions().containsKey(name),
            () -> {
              stored(name, rendered[0]);
              onStored.run();
            },
            null));
  }

  private void stored(String name, Subscription now) {
    Subscription before = outbox.subscriptions().get(name);
    if (now == null) {
      outbox.unsubscribed(name);
    } else {
      outbox.subscribed(now);
    }
    if (before == null || now == null || before.status() != now.status()) {
      log.info(
          "subscription {} is {}{}",
          name,
          now == null ? "deleted" : now.status().name().toLowerCase(Locale.ROOT),
          now == null || now.reason() == null ? "" : ": " + now.reason());
    }
    if (deliveries == null) {
      return;
    }
    if (now != null) {
      deliveries.configure(now);
    } else if (before != null) {
      deliveries.remove(before);
    }
  }

  /** A receiver's refusal is stored, or the next leader would try again. */
  private void settle(Subscription of, Subscription.Status status, String reason) {
    change(
        of.name(),
        now ->
            now != null
                    && now.source().equals(of.source())
                    && now.status() == Subscription.Status.ACTIVE
                ? now.withStatus(status, reason.substring(0, Math.min(reason.length(), MOST_REASON)))
                : now,
        () -> {});
  }

  // ---- administration

  private static HttpResponse json(int status, ObjectNode body) {
    return new HttpResponse(status, Json.bytes(body));
  }

  private static HttpResponse later(String reason) {
    return new HttpResponse(503, Json.bytes(Json.object().put("error", reason)), 2);
  }

  private static HttpResponse faulty(List<SubscriptionSchema.Fault> faults) {
    ObjectNode out = Json.object().put("error", "the request has faults");
    ArrayNode list = out.putArray("faults");
    faults.forEach(f -> list.addObject().put("pointer", f.pointer()).put("fault", f.what()));
    return json(400, out);
  }

  /** Answers at the first of both: the change is stored, or has taken too long. */
  private Runnable within(Consumer<HttpResponse> answer, Supplier<HttpResponse> good) {
    Consumer<HttpResponse> first =
        HttpResponses.withTimeout(eventLoop, answer, STORE_TIMEOUT, later("not stored yet"));
    return () -> first.accept(good.get());
  }

  /** Answers a request; {@code path} is what follows the administration API's prefix. */
  public void handle(String method, String path, byte[] body, Consumer<HttpResponse> answer) {
    if (delivery == null) {
      answer.accept(error(404, "delivery of notices is not switched on"));
    } else if (path.equals(NETWORKS_PATH)) {
      networks(method, body, answer);
    } else if (!outbox.isWhole()) {
      answer.accept(later("what subscribers wait for is still being read"));
    } else if (path.equals(PATH)) {
      answer.accept(method.equals("GET") ? list() : error(405, "use GET"));
    } else if (path.equals(PATH + "/schema")) {
      answer.accept(
          method.equals("GET")
              ? new HttpResponse(200, SubscriptionSchema.text().getBytes(StandardCharsets.UTF_8))
              : error(405, "use GET"));
    } else {
      String[] parts = path.substring(PATH.length() + 1).split("/", -1);
      if (!NAME.matcher(parts[0]).matches() || parts[0].equals("schema")) {
        answer.accept(error(400, "a name has 1 to 63 lower-case letters, digits and hyphens"));
      } else if (parts.length == 1) {
        one(method, parts[0], body, answer);
      } else if (parts.length == 2 && (parts[1].equals("pause") || parts[1].equals("resume"))) {
        if (!method.equals("POST")) {
          answer.accept(error(405, "use POST"));
        } else if (!outbox.subscriptions().containsKey(parts[0])) {
          answer.accept(error(404, "no such subscription"));
        } else if (parts[1].equals("pause")) {
          pause(parts[0], answer);
        } else {
          resume(parts[0], body, answer);
        }
      } else {
        answer.accept(error(404, "no such path"));
      }
    }
  }

  private HttpResponse list() {
    ObjectNode out = Json.object();
    ArrayNode all = out.putArray("subscriptions");
    outbox.subscriptions().values().forEach(each -> all.add(show(each)));
    return json(200, out);
  }

  /** What is kept and how sending goes, in figures; those of this term. */
  public ObjectNode figures() {
    ObjectNode out =
        Json.object()
            .put("subscriptions", outbox.subscriptions().size())
            .put("notices_kept", outbox.kept());
    if (deliveries != null) {
      out.put("sent", deliveries.sent()).put("confirmed", deliveries.delays().getTotalCount());
      out.put("failed", deliveries.failed()).put("under_way", deliveries.underWay());
      Metrics.percentiles(out.putObject("delay_s"), deliveries.delays(), 1e3);
    }
    return out;
  }

  private HttpResponse shown(String name) {
    Subscription found = outbox.subscriptions().get(name);
    return found == null ? error(404, "no such subscription") : json(200, show(found));
  }

  private ObjectNode show(Subscription subscription) {
    ObjectNode out = Json.object().put("name", subscription.name()).put("url", subscription.url());
    ArrayNode owners = out.putArray("owners");
    subscription.filter().teams().stream().sorted().forEach(owners::add);
    ArrayNode classes = out.putArray("classes");
    subscription.filter().classes().stream().sorted().forEach(classes::add);
    out.put("secrets", subscription.secrets().size())
        .put("source", subscription.source())
        .put("status", subscription.status().name().toLowerCase(Locale.ROOT));
    if (subscription.reason() != null) {
      out.put("reason", subscription.reason());
    }
    NotificationOutbox.Backlog backlog = outbox.backlog(subscription);
    DeliveryProgress at = outbox.cursor(subscription).now();
    out.put(
            "confirmed",
            at.firstLostSequence() > 0 ? at.firstLostSequence() - 1 : at.lastSequence())
        .put("backlog", backlog.notices())
        .put("oldest", backlog.oldest() == null ? null : backlog.oldest().endedAt().toString());
    if (at.firstLostSequence() > 0) {
      out.putObject("lost").put("first", at.firstLostSequence()).put("last", at.lastSequence());
    }
    SubscriberDelivery sender = deliveries.of(subscription);
    if (sender != null) {
      out.put("sending", sender.state().name().toLowerCase(Locale.ROOT))
          .put("sent", sender.sent())
          .put("last_error", sender.lastError())
          .put(
              "confirmed_ago_s",
              sender.confirmedAt() == null
                  ? null
                  : Duration.between(sender.confirmedAt(), eventLoop.now()).toMillis() / 1e3);
    }
    return out;
  }

  private void one(String method, String name, byte[] body, Consumer<HttpResponse> answer) {
    switch (method) {
      case "GET" -> answer.accept(shown(name));
      case "PUT" -> put(name, body, answer);
      case "DELETE" -> {
        if (!outbox.subscriptions().containsKey(name)) {
          answer.accept(error(404, "no such subscription"));
        } else {
          change(
              name,
              now -> null,
              within(answer, () -> json(200, Json.object().put("deleted", name))));
        }
      }
      default -> answer.accept(error(405, "use GET, PUT or DELETE"));
    }
  }

  private void put(String name, byte[] body, Consumer<HttpResponse> answer) {
    ObjectNode wanted;
    try {
      wanted = Json.parseObject(body);
    } catch (MalformedMessageException e) {
      answer.accept(faulty(List.of(new SubscriptionSchema.Fault("", e.getMessage()))));
      return;
    }
    // The validator's first use loads hundreds of classes, for which no lease would wait.
    delivery
        .background()
        .run(
            () -> check(wanted),
            faults -> {
              boolean isNew = !outbox.subscriptions().containsKey(name);
              if (isNew && !wanted.has("secrets") && faults.isEmpty()) {
                faults.add(
                    new SubscriptionSchema.Fault("/secrets", "a new subscription needs one"));
              }
              if (!faults.isEmpty()) {
                answer.accept(faulty(faults));
              } else if (isNew && outbox.subscriptions().size() >= MOST) {
                answer.accept(error(409, "there are " + MOST + " subscriptions already"));
              } else {
                apply(name, wanted, isNew, answer);
              }
            });
  }

  /** All faults: the schema's, and those of texts that it cannot see into. */
  private static List<SubscriptionSchema.Fault> check(ObjectNode wanted) {
    List<SubscriptionSchema.Fault> faults = new ArrayList<>(SubscriptionSchema.check(wanted));
    if (!faults.isEmpty()) {
      return faults;
    }
    try {
      URI url = new URI(wanted.get("url").textValue());
      if (url.getHost() == null || url.getPort() > 65_535 || url.getPort() == 0) {
        faults.add(new SubscriptionSchema.Fault("/url", "has no host, or no such port"));
      }
    } catch (URISyntaxException e) {
      faults.add(new SubscriptionSchema.Fault("/url", e.getReason()));
    }
    for (int i = 0; i < wanted.path("secrets").size(); i++) {
      try {
        WebhookSignature.parseSecret(wanted.get("secrets").get(i).textValue());
      } catch (IllegalArgumentException e) {
        faults.add(new SubscriptionSchema.Fault("/secrets/" + i, e.getMessage()));
      }
    }
    return faults;
  }

  private void apply(String name, ObjectNode wanted, boolean isNew, Consumer<HttpResponse> answer) {
    List<String> encrypted = new ArrayList<>();
    wanted
        .path("secrets")
        .forEach(
            secret ->
                encrypted.add(
                    delivery.box().seal(name, WebhookSignature.parseSecret(secret.textValue()))));
    String incarnation = HexFormat.of().toHexDigits(eventLoop.random().nextInt());
    String url = wanted.get("url").textValue();
    Set<String> owners = DeliveryWire.parseStringSet(wanted.path("owners"));
    Set<String> classes = DeliveryWire.parseStringSet(wanted.path("classes"));
    UnaryOperator<Subscription> change =
        now -> {
          if (now == null && !isNew) {
            return null;
          }
          Subscription.Filter filter = new Subscription.Filter(outbox.last(), owners, classes);
          if (now == null) {
            return new Subscription(
                name,
                incarnation,
                url,
                outbox.last(),
                List.of(filter),
                List.copyOf(encrypted),
                Subscription.Status.ACTIVE,
                null);
          }
          List<Subscription.Filter> filters = new ArrayList<>(outbox.filters(now));
          if (!now.filter().teams().equals(owners) || !now.filter().classes().equals(classes)) {
            filters.add(filter);
          }
          return new Subscription(
              name,
              now.incarnation(),
              url,
              now.createdAfterNumber(),
              List.copyOf(filters),
              encrypted.isEmpty() ? now.secrets() : List.copyOf(encrypted),
              now.status(),
              now.reason());
        };
    Subscription expected = change.apply(outbox.subscriptions().get(name));
    if (expected.filters().size() > MOST_FILTERS) {
      answer.accept(later("too many changes wait for the receiver"));
      return;
    }
    if (Json.bytes(DeliveryWire.subscription(expected)).length + GROWTH > valueBytes) {
      answer.accept(error(422, "with what waits for the receiver it is too long to be stored"));
      return;
    }
    change(
        name,
        change,
        within(
            answer,
            () -> {
              Subscription stored = outbox.subscriptions().get(name);
              return stored == null
                  ? error(404, "it was deleted meanwhile")
                  : json(isNew ? 201 : 200, show(stored));
            }));
  }

  private void pause(String name, Consumer<HttpResponse> answer) {
    if (outbox.subscriptions().get(name).status() == Subscription.Status.ENDED) {
      answer.accept(error(409, "it has ended; delete it"));
      return;
    }
    change(
        name,
        now -> now == null ? null : now.withStatus(Subscription.Status.PAUSED, null),
        within(answer, () -> shown(name)));
  }

  private void resume(String name, byte[] body, Consumer<HttpResponse> answer) {
    Subscription present = outbox.subscriptions().get(name);
    if (present.status() == Subscription.Status.ENDED) {
      answer.accept(error(409, "it has ended; delete it and create it anew"));
      return;
    }
    if (body != null && body.length > 0) {
      long from;
      try {
        ObjectNode wanted = Json.parseObject(body);
        from = wanted.path("sequence").asLong(0);
        if (wanted.size() != 1 || from < 1 || !wanted.get("sequence").isIntegralNumber()) {
          throw new MalformedMessageException("sequence is not a whole number from 1");
        }
      } catch (MalformedMessageException e) {
        answer.accept(faulty(List.of(new SubscriptionSchema.Fault("/sequence", e.getMessage()))));
        return;
      }
      if (!outbox.seek(present, from)) {
        answer.accept(error(409, "sequence " + from + " is not kept, or was never there"));
        return;
      }
    }
    change(
        name,
        now -> now == null ? null : now.withStatus(Subscription.Status.ACTIVE, null),
        within(answer, () -> shown(name)));
  }

  private void networks(String method, byte[] body, Consumer<HttpResponse> answer) {
    if (method.equals("GET")) {
      answer.accept(json(200, DeliveryWire.networks(delivery.networks())));
      return;
    }
    if (!method.equals("PUT")) {
      answer.accept(error(405, "use GET or PUT"));
      return;
    }
    List<String> wanted;
    try {
      wanted = DeliveryWire.parseNetworks(Json.parseObject(body));
    } catch (MalformedMessageException e) {
      answer.accept(faulty(List.of(new SubscriptionSchema.Fault("/networks", e.getMessage()))));
      return;
    }
    List<SubscriptionSchema.Fault> faults = new ArrayList<>();
    if (wanted.size() > MOST_NETWORKS) {
      faults.add(new SubscriptionSchema.Fault("/networks", "more than " + MOST_NETWORKS));
    }
    for (int i = 0; i < wanted.size(); i++) {
      try {
        delivery.destinations(List.of(wanted.get(i)));
      } catch (IllegalArgumentException e) {
        faults.add(new SubscriptionSchema.Fault("/networks/" + i, e.getMessage()));
      }
    }
    if (!faults.isEmpty()) {
      answer.accept(faulty(faults));
      return;
    }
    ObjectNode record = DeliveryWire.networks(wanted);
    commit.accept(
        Mutation.of(
            Mutation.Priority.ACCEPTANCE,
            List.of(new Mutation.Write(RecordKeys.DELIVERY_NETWORKS, () -> record)),
            within(
                answer,
                () -> {
                  delivery.setAllowedNetworks(record);
                  return json(200, record);
                })));
  }
}
