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

/** Administers the subscriptions and delivers their notifications during one term. */
public final class SubscriptionManager {
  private static final Logger log = LoggerFactory.getLogger(SubscriptionManager.class);

  /** Path of the subscriptions below the prefix of the administration API. */
  public static final String PATH = "subscriptions";

  /** Path of the allowed destination networks below the same prefix. */
  public static final String NETWORKS_PATH = "networks";

  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

  /** Bounds the stored records, and the time to match a job's final state against all filters. */
  static final int MAX_SUBSCRIPTIONS = 256;

  private static final int MAX_FILTERS = 16;

  /** Space left in a record for a later status with its reason. */
  private static final int STATUS_RESERVE_BYTES = 512;

  private static final int MAX_REASON_CHARS = 300;
  private static final int MAX_NETWORKS = 64;
  private static final Duration STORE_TIMEOUT = Duration.ofSeconds(3);

  private final DeliveryContext context;
  private final NotificationOutbox outbox;
  private final EventLoop eventLoop;
  private final Consumer<Mutation> commit;
  private final int maxValueBytes;
  private final DeliveryDispatcher dispatcher;

  /**
   * Creates the manager of a term.
   *
   * @param context null where delivery is disabled: notifications are retained but not sent
   * @param maxValueBytes the size limit of a stored value
   * @param isLeadingWithValidLease checked before every send, since the process may have been
   *     paused
   */
  public SubscriptionManager(
      DeliveryContext context,
      NotificationOutbox outbox,
      EventLoop eventLoop,
      Consumer<Mutation> commit,
      int maxValueBytes,
      BooleanSupplier isLeadingWithValidLease) {
    this.maxValueBytes = maxValueBytes;
    this.context = context;
    this.outbox = outbox;
    this.eventLoop = eventLoop;
    this.commit = commit;
    this.dispatcher =
        context == null
            ? null
            : new DeliveryDispatcher(
                context, outbox, eventLoop, isLeadingWithValidLease, this::storeStatus);
  }

  /** Whether delivery is enabled on this controller. */
  public boolean isEnabled() {
    return context != null;
  }

  /** Starts delivering once the backlog and the delivery progress were read. */
  public void start() {
    if (dispatcher != null) {
      outbox.subscriptions().values().forEach(dispatcher::configure);
    }
  }

  /** Checks for notifications to send after some were stored or the lease was renewed. */
  public void wake() {
    if (dispatcher != null) {
      dispatcher.wakeAll();
    }
  }

  // ---- records

  /**
   * Changes a subscription's record. The change is applied to the record as it is when the
   * transaction is assembled.
   *
   * @param change returns the new record, or null to delete it; gets null when there is none
   */
  private void updateRecord(String name, UnaryOperator<Subscription> change, Runnable onStored) {
    Subscription[] rendered = new Subscription[1];
    Subscription expected = change.apply(outbox.subscriptions().get(name));
    if (expected != null) {
      outbox.expectSubscription(expected);
    }
    // Same priority as final states, so that they are stored in order: a final state that was
    // queued earlier, without a notification, is stored before the subscription.
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
              onRecordStored(name, rendered[0]);
              onStored.run();
            },
            null));
  }

  private void onRecordStored(String name, Subscription stored) {
    Subscription before = outbox.subscriptions().get(name);
    if (stored == null) {
      outbox.onSubscriptionDeleted(name);
    } else {
      outbox.onSubscriptionStored(stored);
    }
    if (before == null || stored == null || before.status() != stored.status()) {
      log.info(
          "Subscription status changed: subscription={} status={}{}",
          name,
          stored == null ? "deleted" : stored.status().name().toLowerCase(Locale.ROOT),
          stored == null || stored.reason() == null ? "" : " reason=\"" + stored.reason() + "\"");
    }
    if (dispatcher == null) {
      return;
    }
    if (stored != null) {
      dispatcher.configure(stored);
    } else if (before != null) {
      dispatcher.remove(before);
    }
  }

  /** Stores that a receiver refuses notifications, so that the next leader does not retry. */
  private void storeStatus(Subscription refused, Subscription.Status status, String reason) {
    updateRecord(
        refused.name(),
        current ->
            current != null
                    && current.source().equals(refused.source())
                    && current.status() == Subscription.Status.ACTIVE
                ? current.withStatus(
                    status, reason.substring(0, Math.min(reason.length(), MAX_REASON_CHARS)))
                : current,
        () -> {});
  }

  // ---- administration

  private static HttpResponse json(int status, ObjectNode body) {
    return new HttpResponse(status, Json.bytes(body));
  }

  private static HttpResponse unavailable(String reason) {
    return new HttpResponse(503, Json.bytes(Json.object().put("error", reason)), 2);
  }

  private static HttpResponse badRequest(List<SubscriptionSchema.Fault> faults) {
    ObjectNode out = Json.object().put("error", "the request has faults");
    ArrayNode list = out.putArray("faults");
    faults.forEach(f -> list.addObject().put("pointer", f.pointer()).put("fault", f.message()));
    return json(400, out);
  }

  /**
   * Returns a callback that responds when a change is stored; without one within the timeout the
   * response is 503.
   */
  private Runnable respondWhenStored(
      Consumer<HttpResponse> answer, Supplier<HttpResponse> response) {
    Consumer<HttpResponse> firstResponse =
        HttpResponses.withTimeout(eventLoop, answer, STORE_TIMEOUT, unavailable("not stored yet"));
    return () -> firstResponse.accept(response.get());
  }

  /**
   * Handles a request to the administration API.
   *
   * @param path the path without the prefix of the administration API
   */
  public void handle(String method, String path, byte[] body, Consumer<HttpResponse> answer) {
    if (context == null) {
      answer.accept(error(404, "delivery of notices is not switched on"));
    } else if (path.equals(NETWORKS_PATH)) {
      handleNetworks(method, body, answer);
    } else if (!outbox.isLoaded()) {
      answer.accept(unavailable("what subscribers wait for is still being read"));
    } else if (path.equals(PATH)) {
      answer.accept(method.equals("GET") ? listSubscriptions() : error(405, "use GET"));
    } else if (path.equals(PATH + "/schema")) {
      answer.accept(
          method.equals("GET")
              ? new HttpResponse(200, SubscriptionSchema.json().getBytes(StandardCharsets.UTF_8))
              : error(405, "use GET"));
    } else {
      String[] parts = path.substring(PATH.length() + 1).split("/", -1);
      if (!NAME.matcher(parts[0]).matches() || parts[0].equals("schema")) {
        answer.accept(error(400, "a name has 1 to 63 lower-case letters, digits and hyphens"));
      } else if (parts.length == 1) {
        handleSubscription(method, parts[0], body, answer);
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

  private HttpResponse listSubscriptions() {
    ObjectNode out = Json.object();
    ArrayNode list = out.putArray("subscriptions");
    outbox.subscriptions().values().forEach(subscription -> list.add(toJson(subscription)));
    return json(200, out);
  }

  /** Counters and latencies of this term, for the metrics of the administration API. */
  public ObjectNode statistics() {
    ObjectNode out =
        Json.object()
            .put("subscriptions", outbox.subscriptions().size())
            .put("notices_kept", outbox.retainedCount());
    if (dispatcher != null) {
      out.put("sent", dispatcher.sentCount())
          .put("confirmed", dispatcher.deliveryDelays().getTotalCount());
      out.put("failed", dispatcher.failedCount()).put("under_way", dispatcher.inFlight());
      Metrics.writePercentiles(out.putObject("delay_s"), dispatcher.deliveryDelays(), 1e3);
    }
    return out;
  }

  private HttpResponse subscriptionResponse(String name) {
    Subscription subscription = outbox.subscriptions().get(name);
    return subscription == null
        ? error(404, "no such subscription")
        : json(200, toJson(subscription));
  }

  private ObjectNode toJson(Subscription subscription) {
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
    DeliveryProgress progress = outbox.cursor(subscription).progress();
    out.put(
            "confirmed",
            progress.firstLostSequence() > 0
                ? progress.firstLostSequence() - 1
                : progress.lastSequence())
        .put("backlog", backlog.count())
        .put("oldest", backlog.oldest() == null ? null : backlog.oldest().endedAt().toString());
    if (progress.firstLostSequence() > 0) {
      out.putObject("lost")
          .put("first", progress.firstLostSequence())
          .put("last", progress.lastSequence());
    }
    SubscriberDelivery delivery = dispatcher.get(subscription);
    if (delivery != null) {
      out.put("sending", delivery.state().name().toLowerCase(Locale.ROOT))
          .put("sent", delivery.sentCount())
          .put("last_error", delivery.lastError())
          .put(
              "confirmed_ago_s",
              delivery.lastConfirmedAt() == null
                  ? null
                  : Duration.between(delivery.lastConfirmedAt(), eventLoop.now()).toMillis() / 1e3);
    }
    return out;
  }

  private void handleSubscription(
      String method, String name, byte[] body, Consumer<HttpResponse> answer) {
    switch (method) {
      case "GET" -> answer.accept(subscriptionResponse(name));
      case "PUT" -> put(name, body, answer);
      case "DELETE" -> {
        if (!outbox.subscriptions().containsKey(name)) {
          answer.accept(error(404, "no such subscription"));
        } else {
          updateRecord(
              name,
              current -> null,
              respondWhenStored(answer, () -> json(200, Json.object().put("deleted", name))));
        }
      }
      default -> answer.accept(error(405, "use GET, PUT or DELETE"));
    }
  }

  private void put(String name, byte[] body, Consumer<HttpResponse> answer) {
    ObjectNode requested;
    try {
      requested = Json.parseObject(body);
    } catch (MalformedMessageException e) {
      answer.accept(badRequest(List.of(new SubscriptionSchema.Fault("", e.getMessage()))));
      return;
    }
    // The validator's first use loads many classes, which would block the event loop too long.
    context
        .backgroundExecutor()
        .run(
            () -> validate(requested),
            faults -> {
              boolean isNew = !outbox.subscriptions().containsKey(name);
              if (isNew && !requested.has("secrets") && faults.isEmpty()) {
                faults.add(
                    new SubscriptionSchema.Fault("/secrets", "a new subscription needs one"));
              }
              if (!faults.isEmpty()) {
                answer.accept(badRequest(faults));
              } else if (isNew && outbox.subscriptions().size() >= MAX_SUBSCRIPTIONS) {
                answer.accept(
                    error(409, "there are " + MAX_SUBSCRIPTIONS + " subscriptions already"));
              } else {
                storeSubscription(name, requested, isNew, answer);
              }
            });
  }

  /**
   * Validates against the schema, then the URL and the secrets, which the schema does not parse.
   */
  private static List<SubscriptionSchema.Fault> validate(ObjectNode requested) {
    List<SubscriptionSchema.Fault> faults = new ArrayList<>(SubscriptionSchema.validate(requested));
    if (!faults.isEmpty()) {
      return faults;
    }
    try {
      URI url = new URI(requested.get("url").textValue());
      if (url.getHost() == null || url.getPort() > 65_535 || url.getPort() == 0) {
        faults.add(new SubscriptionSchema.Fault("/url", "has no host, or no such port"));
      }
    } catch (URISyntaxException e) {
      faults.add(new SubscriptionSchema.Fault("/url", e.getReason()));
    }
    for (int i = 0; i < requested.path("secrets").size(); i++) {
      try {
        WebhookSignature.parseSecret(requested.get("secrets").get(i).textValue());
      } catch (IllegalArgumentException e) {
        faults.add(new SubscriptionSchema.Fault("/secrets/" + i, e.getMessage()));
      }
    }
    return faults;
  }

  private void storeSubscription(
      String name, ObjectNode requested, boolean isNew, Consumer<HttpResponse> answer) {
    List<String> encryptedSecrets = new ArrayList<>();
    requested
        .path("secrets")
        .forEach(
            secret ->
                encryptedSecrets.add(
                    context
                        .secretCipher()
                        .encrypt(name, WebhookSignature.parseSecret(secret.textValue()))));
    String incarnation = HexFormat.of().toHexDigits(eventLoop.random().nextInt());
    String url = requested.get("url").textValue();
    Set<String> teams = DeliveryWire.parseStringSet(requested.path("owners"));
    Set<String> classes = DeliveryWire.parseStringSet(requested.path("classes"));
    UnaryOperator<Subscription> change =
        current -> {
          if (current == null && !isNew) {
            return null;
          }
          Subscription.Filter filter = new Subscription.Filter(outbox.lastNumber(), teams, classes);
          if (current == null) {
            return new Subscription(
                name,
                incarnation,
                url,
                outbox.lastNumber(),
                List.of(filter),
                List.copyOf(encryptedSecrets),
                Subscription.Status.ACTIVE,
                null);
          }
          List<Subscription.Filter> filters = new ArrayList<>(outbox.neededFilters(current));
          if (!current.filter().teams().equals(teams)
              || !current.filter().classes().equals(classes)) {
            filters.add(filter);
          }
          return new Subscription(
              name,
              current.incarnation(),
              url,
              current.createdAfterNumber(),
              List.copyOf(filters),
              encryptedSecrets.isEmpty() ? current.secrets() : List.copyOf(encryptedSecrets),
              current.status(),
              current.reason());
        };
    Subscription expected = change.apply(outbox.subscriptions().get(name));
    if (expected.filters().size() > MAX_FILTERS) {
      answer.accept(unavailable("too many changes wait for the receiver"));
      return;
    }
    if (Json.bytes(DeliveryWire.subscription(expected)).length + STATUS_RESERVE_BYTES
        > maxValueBytes) {
      answer.accept(error(422, "with what waits for the receiver it is too long to be stored"));
      return;
    }
    updateRecord(
        name,
        change,
        respondWhenStored(
            answer,
            () -> {
              Subscription stored = outbox.subscriptions().get(name);
              return stored == null
                  ? error(404, "it was deleted meanwhile")
                  : json(isNew ? 201 : 200, toJson(stored));
            }));
  }

  private void pause(String name, Consumer<HttpResponse> answer) {
    if (outbox.subscriptions().get(name).status() == Subscription.Status.ENDED) {
      answer.accept(error(409, "it has ended; delete it"));
      return;
    }
    updateRecord(
        name,
        current -> current == null ? null : current.withStatus(Subscription.Status.PAUSED, null),
        respondWhenStored(answer, () -> subscriptionResponse(name)));
  }

  private void resume(String name, byte[] body, Consumer<HttpResponse> answer) {
    Subscription subscription = outbox.subscriptions().get(name);
    if (subscription.status() == Subscription.Status.ENDED) {
      answer.accept(error(409, "it has ended; delete it and create it anew"));
      return;
    }
    if (body != null && body.length > 0) {
      long sequence;
      try {
        ObjectNode requested = Json.parseObject(body);
        sequence = requested.path("sequence").asLong(0);
        if (requested.size() != 1
            || sequence < 1
            || !requested.get("sequence").isIntegralNumber()) {
          throw new MalformedMessageException("sequence is not a whole number from 1");
        }
      } catch (MalformedMessageException e) {
        answer.accept(
            badRequest(List.of(new SubscriptionSchema.Fault("/sequence", e.getMessage()))));
        return;
      }
      if (!outbox.resumeFrom(subscription, sequence)) {
        answer.accept(error(409, "sequence " + sequence + " is not kept, or was never there"));
        return;
      }
    }
    updateRecord(
        name,
        current -> current == null ? null : current.withStatus(Subscription.Status.ACTIVE, null),
        respondWhenStored(answer, () -> subscriptionResponse(name)));
  }

  private void handleNetworks(String method, byte[] body, Consumer<HttpResponse> answer) {
    if (method.equals("GET")) {
      answer.accept(json(200, DeliveryWire.networks(context.allowedNetworks())));
      return;
    }
    if (!method.equals("PUT")) {
      answer.accept(error(405, "use GET or PUT"));
      return;
    }
    List<String> requested;
    try {
      requested = DeliveryWire.parseNetworks(Json.parseObject(body));
    } catch (MalformedMessageException e) {
      answer.accept(badRequest(List.of(new SubscriptionSchema.Fault("/networks", e.getMessage()))));
      return;
    }
    List<SubscriptionSchema.Fault> faults = new ArrayList<>();
    if (requested.size() > MAX_NETWORKS) {
      faults.add(new SubscriptionSchema.Fault("/networks", "more than " + MAX_NETWORKS));
    }
    for (int i = 0; i < requested.size(); i++) {
      try {
        context.destinationPolicy(List.of(requested.get(i)));
      } catch (IllegalArgumentException e) {
        faults.add(new SubscriptionSchema.Fault("/networks/" + i, e.getMessage()));
      }
    }
    if (!faults.isEmpty()) {
      answer.accept(badRequest(faults));
      return;
    }
    ObjectNode record = DeliveryWire.networks(requested);
    commit.accept(
        Mutation.of(
            Mutation.Priority.ACCEPTANCE,
            List.of(new Mutation.Write(RecordKeys.DELIVERY_NETWORKS, () -> record)),
            respondWhenStored(
                answer,
                () -> {
                  context.setAllowedNetworks(record);
                  return json(200, record);
                })));
  }
}
