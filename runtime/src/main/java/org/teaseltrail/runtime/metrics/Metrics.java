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
 * Registry of a program's metrics and of those of its JVM and process. The JVM and process metrics
 * are registered at the first scrape, so garbage collection pauses before it are not counted.
 */
public final class Metrics implements AutoCloseable {

  /** The content type of {@link #scrape()}. */
  public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private JvmGcMetrics gcMetrics;

  /**
   * Creates an empty registry.
   *
   * @param program the program's name, added as a tag to each metric
   */
  public Metrics(String program) {
    registry.config().commonTags("program", program);
  }

  /**
   * Returns the registry to which a program adds its metrics.
   *
   * @return the registry
   */
  public MeterRegistry registry() {
    return registry;
  }

  /**
   * Returns the current values of all metrics.
   *
   * @return the Prometheus text format
   */
  public synchronized String scrape() {
    if (gcMetrics == null) {
      bindProcessMetrics();
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

  /**
   * Registers the JVM and process metrics. This is deferred to the first scrape because loading the
   * JVM's management classes would slow down the start of processes that are never scraped.
   */
  private void bindProcessMetrics() {
    new JvmMemoryMetrics().bindTo(registry);
    new JvmThreadMetrics().bindTo(registry);
    new ProcessorMetrics().bindTo(registry);
    new FileDescriptorMetrics().bindTo(registry);
    new UptimeMetrics().bindTo(registry);
    gcMetrics = new JvmGcMetrics();
    gcMetrics.bindTo(registry);
  }
}
