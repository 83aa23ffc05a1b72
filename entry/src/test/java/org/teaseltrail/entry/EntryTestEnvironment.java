package org.teaseltrail.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import org.teaseltrail.core.configuration.AllowedUpstream;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.configuration.Customer;
import org.teaseltrail.core.configuration.Pool;
import org.teaseltrail.core.configuration.Route;
import org.teaseltrail.core.configuration.RouteTarget.ModelTarget;
import org.teaseltrail.core.configuration.RouteTarget.ServiceTarget;
import org.teaseltrail.core.configuration.TierDefinition;
import org.teaseltrail.core.entry.EntrySettings;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.ModelId;
import org.teaseltrail.core.id.ModelVersion;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.upstream.SocketAddress;
import org.teaseltrail.runtime.process.ProgramException;

/** An entry VM on loopback between a caller, a fake control member and a fake engine. */
final class EntryTestEnvironment implements AutoCloseable {

  static final String KEY = "gopherfield-key";
  static final String SECRET = "engine-secret";
  private static final UpstreamId UPSTREAM = new UpstreamId("tutor-llm-1");
  private static final int MAX_BODY_BYTES = 64_000;

  final FakeEngine engine = new FakeEngine();
  final FakeControlMember control;
  final EntryDaemon entry;
  private final HttpClient client = HttpClient.newHttpClient();

  EntryTestEnvironment() {
    this(Optional.empty(), MAX_BODY_BYTES);
  }

  /** Places another upstream behind the entry VM, which accepts request bodies of a given size. */
  EntryTestEnvironment(SocketAddress upstream, int maxBodyBytes) {
    this(Optional.of(upstream), maxBodyBytes);
  }

  private EntryTestEnvironment(Optional<SocketAddress> upstream, int maxBodyBytes) {
    control = new FakeControlMember(configuration(), UPSTREAM, upstream.orElseGet(engine::address));
    EntrySettings defaults =
        EntrySettings.defaults(
            new VmId("entry-1"), new Incarnation(1), new DataCenterId("regina-a"));
    EntrySettings node =
        new EntrySettings(
            defaults.vm(),
            defaults.incarnation(),
            defaults.dataCenter(),
            20,
            2_000,
            10_000,
            5_000,
            1,
            1_000,
            0,
            1_000);
    entry =
        start(
            new EntryOptions(
                new InetSocketAddress("127.0.0.1", 0),
                List.of(control.address()),
                new CallerLimits(maxBodyBytes, 8_000, 4_000, 1_000, 20_000),
                8,
                30_000,
                5_000,
                1_000,
                5_000,
                node));
    awaitReady();
  }

  private static EntryDaemon start(EntryOptions options) {
    try {
      return EntryDaemon.start(options);
    } catch (ProgramException e) {
      throw new IllegalStateException(e);
    }
  }

  private static Configuration configuration() {
    CustomerId customer = new CustomerId("gopherfield");
    PoolId pool = new PoolId("tutor");
    Tier tier = new Tier(1);
    return new Configuration(
        new Revision(5),
        Map.of(tier, new TierDefinition(tier, "first")),
        Map.of(customer, new Customer(customer, tier, List.of(Sha256Hex.ofText(KEY)), 0, 0, 1)),
        Map.of(pool, new Pool(pool, 1_000, 0)),
        Map.of(
            new RouteId("tutor"),
            new Route(
                new RouteId("tutor"),
                new ModelTarget(new ModelId("tutor-llm"), new ModelVersion("1"), Optional.empty()),
                pool),
            new RouteId("portal"),
            new Route(
                new RouteId("portal"),
                new ServiceTarget(new ServiceId("portal-app"), Set.of("POST")),
                pool)),
        Map.of(
            UPSTREAM, new AllowedUpstream(UPSTREAM, pool, Sha256Hex.ofText(SECRET), false, true)));
  }

  /**
   * Waits until the VM is ready, which requires a session. Polls without sleeping, since each poll
   * takes a complete HTTP exchange.
   */
  private void awaitReady() {
    await(() -> send("/readyz", HttpRequest.Builder::GET).statusCode() == 200);
  }

  /** Polls the VM's health check until the condition holds. */
  void await(BooleanSupplier condition) {
    for (int polls = 0; !condition.getAsBoolean(); polls++) {
      if (polls > 10_000) {
        throw new IllegalStateException("the condition was not met");
      }
      send("/healthz", HttpRequest.Builder::GET);
    }
  }

  /** Connects repeatedly until the VM refuses connections. */
  void awaitListenerClosed() {
    for (int attempts = 0; attempts < 100_000; attempts++) {
      try {
        new Socket("127.0.0.1", entry.address().getPort()).close();
      } catch (IOException refused) {
        return;
      }
    }
    throw new IllegalStateException("the listener did not close");
  }

  /** Requests a streamed response and returns it unread. */
  HttpResponse<InputStream> openStream(String body) {
    HttpRequest request =
        HttpRequest.newBuilder(uri("/v1/generate"))
            .header("Authorization", "Bearer " + KEY)
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    try {
      return client.send(request, HttpResponse.BodyHandlers.ofInputStream());
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private URI uri(String path) {
    return URI.create("http://127.0.0.1:" + entry.address().getPort() + path);
  }

  HttpResponse<String> generate(String body, String... headers) {
    return send(
        "/v1/generate",
        request -> {
          request
              .header("Authorization", "Bearer " + KEY)
              .POST(HttpRequest.BodyPublishers.ofString(body));
          return headers.length == 0 ? request : request.headers(headers);
        });
  }

  HttpResponse<String> send(String path, UnaryOperator<HttpRequest.Builder> customizer) {
    try {
      return client.send(
          customizer.apply(HttpRequest.newBuilder(uri(path))).build(),
          HttpResponse.BodyHandlers.ofString());
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public void close() {
    entry.close();
    control.close();
    engine.close();
  }
}
