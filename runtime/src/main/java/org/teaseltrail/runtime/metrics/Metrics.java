package org.teaseltrail.runtime.metrics;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmThreadMetrics;
import io.micrometer.core.instrument.binder.system.FileDescriptorMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.core.instrument.binder.system.UptimeMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/**
 * Holds a program's meters and those of its JVM and process. The latter begin with the first
 * scrape: pauses of the collector before it are not counted.
 */
public final class Metrics implements AutoCloseable {

  /** The content type of {@link #scrape()}. */
  public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private JvmGcMetrics gcMetrics;

  /**
   * Makes the meters.
   *
   * @param program the program's name, a tag of each meter
   */
  public Metrics(String program) {
    registry.config().commonTags("program", program);
  }

  /**
   * Returns where a program adds its meters.
   *
   * @return the registry
   */
  public MeterRegistry registry() {
    return registry;
  }

  /**
   * Returns all meters with their values of now.
   *
   * @return Prometheus' text form
   */
  public synchronized String scrape() {
    if (gcMetrics == null) {
      bindProcess();
    }
    return registry.scrape();
  }

  @Override
  public synchronized void close() {
    if (gcMetrics != null) {
      gcMetrics.close();
    }
    registry.close();
  }

  /** Keeps the JVM's management out of the start of processes that nobody asks. */
  private void bindProcess() {
    new JvmMemoryMetrics().bindTo(registry);
    new JvmThreadMetrics().bindTo(registry);
    new ProcessorMetrics().bindTo(registry);
    new FileDescriptorMetrics().bindTo(registry);
    new UptimeMetrics().bindTo(registry);
    gcMetrics = new JvmGcMetrics();
    gcMetrics.bindTo(registry);
  }
}
