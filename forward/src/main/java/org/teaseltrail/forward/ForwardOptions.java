package org.teaseltrail.forward;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.teaseltrail.core.forward.ForwardSettings;

/**
 * Holds the settings of a forwarding entry VM.
 *
 * @param listen address for callers
 * @param listenReady address at which the platform asks whether callers may be sent here
 * @param readyPath path of that question
 * @param listenMetrics address for metrics, if they are served
 * @param graceMs time between the signal to end and the kill, in milliseconds
 * @param eventHoldMs longest time for which an event of a long stream may wait to be passed on
 *     together with the next ones, in milliseconds; 0 for none
 * @param node what the VM decides by
 */
public record ForwardOptions(
    InetSocketAddress listen,
    InetSocketAddress listenReady,
    String readyPath,
    Optional<InetSocketAddress> listenMetrics,
    long graceMs,
    long eventHoldMs,
    ForwardSettings node) {}
