package org.teaseltrail.forward;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.teaseltrail.core.forward.ForwardSettings;

/**
 * The settings of a forwarding entry VM.
 *
 * @param listen address for callers
 * @param listenReady address at which the external platform probes the readiness for callers
 * @param readyPath path of the readiness probe
 * @param listenRelay address for peers that relay requests, if there is a relay
 * @param listenMetrics address for metrics, if they are served
 * @param graceMs time between the termination signal and the kill, in milliseconds
 * @param maxEventDelayMs maximum time for which an event of a long stream may wait to be forwarded
 *     together with the next ones, in milliseconds; 0 disables delays
 * @param node settings of the forwarding decisions
 */
public record ForwardOptions(
    InetSocketAddress listen,
    InetSocketAddress listenReady,
    String readyPath,
    Optional<InetSocketAddress> listenRelay,
    Optional<InetSocketAddress> listenMetrics,
    long graceMs,
    long maxEventDelayMs,
    ForwardSettings node) {}
