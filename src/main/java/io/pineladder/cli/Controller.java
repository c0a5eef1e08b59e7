package io.pineladder.cli;

import io.pineladder.ControllerNode;
import io.pineladder.admin.Metrics;
import io.pineladder.api.RequestRouter;
import io.pineladder.delivery.DeliveryContext;
import io.pineladder.delivery.SecretCipher;
import io.pineladder.model.Settings;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.ConnectionLimiter;
import io.pineladder.net.OutboundHttpClient;
import io.pineladder.net.UndertowHttpClient;
import io.pineladder.net.XnioEventLoop;
import io.pineladder.snapshot.SnapshotDirectory;
import io.pineladder.wire.SettingsReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves as a controller; its only argument is the settings file. The platform starts this class
 * and not {@link Main}: reading a command line takes a fifth of a start's processor time, because
 * picocli's classes are of a format that no class-data archive takes, and small nodes have a
 * seventh of a core.
 */
public final class Controller {
  private static final int EXIT_FAILURE = 1;
  private static final int EXIT_USAGE = 2;

  static final String DELIVERY = "--delivery";
  static final String SNAPSHOTS = "--snapshots";
  private static final Set<String> OPTIONS = Set.of(DELIVERY, SNAPSHOTS);

  /**
   * What a controller does beyond what the settings file says.
   *
   * @param deliveryKey the file with the key for subscribers' secrets; null: notices are not
   *     delivered
   * @param snapshots the directory for snapshots of the records; null: none are written
   */
  record Extras(Path deliveryKey, Path snapshots) {
    static final Extras NONE = new Extras(null, null);
  }

  private Controller() {}

  public static void main(String[] args) {
    configureLogging(System.getenv("LOG_LEVEL"));
    Map<String, Path> options = new HashMap<>();
    int at = 0;
    for (; at + 1 < args.length && OPTIONS.contains(args[at]); at += 2) {
      options.put(args[at], Path.of(args[at + 1]));
    }
    if (at + 1 != args.length) {
      System.err.println("usage: Controller [--delivery KEYFILE] [--snapshots DIR] SETTINGS");
      System.exit(EXIT_USAGE);
    }
    int code = serve(Path.of(args[at]), new Extras(options.get(DELIVERY), options.get(SNAPSHOTS)));
    if (code >= 0) {
      System.exit(code);
    }
  }

  static void configureLogging(String level) {
    String chosen = level == null || level.isBlank() ? "info" : level.toLowerCase(Locale.ROOT);
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
    System.setProperty("org.slf4j.simpleLogger.log.io.pineladder", chosen);
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    System.setProperty("org.jboss.logging.provider", "slf4j");
  }

  /** Serves with a settings file; a negative result means that the service goes on running. */
  static int serve(Path file, Extras extras) {
    Logger log = LoggerFactory.getLogger(Controller.class);
    Settings settings;
    try {
      settings = SettingsReader.read(file);
    } catch (IOException | SettingsReader.BadSettingsException e) {
      log.error("{}: {}", file, e.getMessage());
      return EXIT_USAGE;
    }
    try {
      start(settings, extras);
      return -1;
    } catch (IOException | RuntimeException e) {
      log.error("cannot serve: {}", e.getMessage(), e);
      return EXIT_FAILURE;
    }
  }

  /** What a connection to the front is for, by the path that is asked for. */
  private static ConnectionLimiter.TrafficClass frontPart(String path) {
    return switch (Metrics.Operation.of("POST", path)) {
      case REPORT -> ConnectionLimiter.TrafficClass.REPORTS;
      case READY -> ConnectionLimiter.TrafficClass.ARRIVING;
      default -> ConnectionLimiter.TrafficClass.USERS;
    };
  }

  /** What a connection to an address is for. */
  private static ConnectionLimiter.TrafficClass part(Settings settings, String address) {
    if (address.equals(settings.storeAddress()) || address.equals(settings.cloudAddress())) {
      return ConnectionLimiter.TrafficClass.SERVICES;
    }
    boolean peer = settings.peers().stream().anyMatch(p -> p.address().equals(address));
    return peer ? ConnectionLimiter.TrafficClass.PEERS : ConnectionLimiter.TrafficClass.ORDERS;
  }

  private static DeliveryContext delivery(Settings settings, XnioEventLoop runtime, Path key)
      throws IOException {
    Set<String> own = new LinkedHashSet<>();
    Stream.concat(
            Stream.of(
                settings.apiAddress(),
                settings.clusterAddress(),
                settings.storeAddress(),
                settings.cloudAddress()),
            settings.peers().stream().map(Settings.Peer::address))
        .forEach(address -> own.add(address.substring(0, address.lastIndexOf(':'))));
    DeliveryContext delivery =
        new DeliveryContext(
            runtime,
            SecretCipher.read(key),
            own,
            settings.coreShare(),
            runtime
                .connectionLimiter()
                .usage()
                .get(ConnectionLimiter.TrafficClass.NOTICES)
                .maxOpen());
    delivery.setOutboundClient(new OutboundHttpClient(runtime, delivery::allows));
    return delivery;
  }

  /** Starts a controller; everything happens on the runtime's thread from then on. */
  static XnioEventLoop start(Settings settings, Extras extras) throws IOException {
    XnioEventLoop runtime =
        new XnioEventLoop(settings.maxSockets(), settings.workerTimes().heartbeatInterval());
    AsyncHttpClient httpClient =
        new UndertowHttpClient(runtime, address -> part(settings, address));
    byte[] nonce = new byte[12];
    RandomGenerator.of("SecureRandom").nextBytes(nonce);
    ControllerNode node =
        new ControllerNode(
            settings,
            runtime,
            httpClient,
            HexFormat.of().formatHex(nonce),
            extras.deliveryKey == null ? null : delivery(settings, runtime, extras.deliveryKey),
            extras.snapshots == null
                ? null
                : new SnapshotDirectory(
                    extras.snapshots.resolve(settings.controllerName()), runtime),
            runtime);
    Metrics metrics = new Metrics();
    metrics.setConnectionLimiter(runtime.connectionLimiter());
    RequestRouter front = new RequestRouter(node, metrics);
    runtime.serve(
        new XnioEventLoop.Listener(
            settings.apiAddress(),
            front::handle,
            ConnectionLimiter.TrafficClass.ARRIVING,
            Controller::frontPart));
    runtime.serve(
        new XnioEventLoop.Listener(
            settings.clusterAddress(),
            front::handleCluster,
            ConnectionLimiter.TrafficClass.PEERS,
            path -> ConnectionLimiter.TrafficClass.PEERS));
    runtime.execute(node::start);
    return runtime;
  }
}
