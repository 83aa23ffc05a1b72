package org.teaseltrail.core.control;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.quarantine.Fingerprint;
import org.teaseltrail.core.quarantine.LossTracker;
import org.teaseltrail.core.quarantine.SuspectCopies;

/**
 * Decides which of the requests under which three upstreams were lost caused the losses.
 *
 * <p>A content that is requested often is present wherever upstreams crash, so its losses alone say
 * little. A request is held at once if nothing else was lost with it. Otherwise it is undecided for
 * a moment: it is not sent, and its callers wait. It is held then if it is rare, or if three of its
 * losses can't be explained by other suspects. Of a frequent one a copy is sent as a trial: it
 * either gets an answer, so that all losses are excused, or is one loss more, which decides.
 */
final class QuarantineCandidates {

  private static final long NS_PER_MS = 1_000_000L;

  /**
   * Time in which a harmless request gets an answer at an upstream that lives on, and a poison
   * request causes further losses, so that few requests need a trial.
   */
  private static final long OBSERVATION_NS = 1_000 * NS_PER_MS;

  /** Time for the outcome of a trial, including the restart of upstreams that crashed. */
  private static final long TRIAL_INTERVAL_NS = 3_000 * NS_PER_MS;

  /** Maximum time for which a request is undecided; it is held after that. */
  private static final long MAX_UNDECIDED_NS = 20_000 * NS_PER_MS;

  /**
   * Number of copies at all VMs from which on a request is frequent. One with fewer copies runs at
   * a small part of the upstreams, so that it is hardly present at three crashes by chance.
   */
  private static final int MIN_FREQUENT_COPIES = 4;

  /**
   * Trial of an undecided request.
   *
   * @param vm the VM at which a copy waits
   * @param request the request
   */
  record Trial(VmId vm, Fingerprint request) {}

  /** A request under which three upstreams were lost. */
  private static final class Candidate {
    private final Optional<CustomerId> customer;
    private final long sinceNs;
    private final Map<VmId, SuspectCopies> copies = new HashMap<>();
    private long trialAtNs = Long.MAX_VALUE;
    private boolean isDecided;

    Candidate(Optional<CustomerId> customer, long sinceNs) {
      this.customer = customer;
      this.sinceNs = sinceNs;
    }

    private boolean isObserved(long nowNs) {
      return nowNs - sinceNs >= OBSERVATION_NS;
    }

    private boolean isFrequent() {
      return copies.values().stream().mapToInt(SuspectCopies::count).sum() >= MIN_FREQUENT_COPIES;
    }

    /** Returns the VM at which most copies wait, if any does. */
    private Optional<VmId> vmWithWaitingCopy() {
      return copies.entrySet().stream()
          .filter(entry -> entry.getValue().waiting() > 0)
          .max(Comparator.comparingInt(entry -> entry.getValue().waiting()))
          .map(Map.Entry::getKey);
    }
  }

  private final LossTracker losses;
  private final Map<Fingerprint, Candidate> candidates = new LinkedHashMap<>();
  private long nextTrialNs;

  QuarantineCandidates(LossTracker losses) {
    this.losses = losses;
  }

  /** Applies the current losses. */
  void update(long nowNs) {
    Map<Fingerprint, Optional<CustomerId>> found = losses.findRequestsToHold();
    candidates.keySet().retainAll(found.keySet());
    found.forEach(
        (request, customer) ->
            candidates.computeIfAbsent(request, key -> new Candidate(customer, nowNs)));
    candidates.forEach((request, candidate) -> decide(request, candidate, nowNs));
  }

  private void decide(Fingerprint request, Candidate candidate, long nowNs) {
    boolean isLostInTrial = losses.newestLossNs(request) > candidate.trialAtNs;
    boolean isUnexplained =
        losses.unexplainedLosses(request) >= LossTracker.LOSSES_TO_HOLD || !candidate.isFrequent();
    candidate.isDecided |=
        isLostInTrial
            || !losses.hasCompanions(request)
            || (candidate.isObserved(nowNs) && isUnexplained)
            || nowNs - candidate.sinceNs >= MAX_UNDECIDED_NS;
  }

  /** Records a VM's copies of undecided requests, in place of those that it reported before. */
  void recordCopies(VmId vm, List<SuspectCopies> copies) {
    candidates.values().forEach(candidate -> candidate.copies.remove(vm));
    for (SuspectCopies one : copies) {
      Candidate candidate = candidates.get(one.request());
      if (candidate != null) {
        candidate.copies.put(vm, one);
      }
    }
  }

  /** Returns the requests and the parts of prompts that are to be held, with their customers. */
  Map<Fingerprint, Optional<CustomerId>> decided() {
    Map<Fingerprint, Optional<CustomerId>> decided = customers(true);
    decided.putAll(losses.findPartsToHold());
    return decided;
  }

  /** Returns the requests that must not be sent for now, with their customers. */
  Map<Fingerprint, Optional<CustomerId>> undecided() {
    return customers(false);
  }

  private Map<Fingerprint, Optional<CustomerId>> customers(boolean isDecided) {
    Map<Fingerprint, Optional<CustomerId>> selected = new LinkedHashMap<>();
    candidates.forEach(
        (request, candidate) -> {
          if (candidate.isDecided == isDecided) {
            selected.put(request, candidate.customer);
          }
        });
    return selected;
  }

  /**
   * Starts a trial if one is due. The request with the most losses is tried first, since it is the
   * one that is requested most often.
   *
   * @return the trial to permit, if any
   */
  Optional<Trial> startDueTrial(long nowNs) {
    if (nowNs < nextTrialNs) {
      return Optional.empty();
    }
    Optional<Trial> trial =
        candidates.entrySet().stream()
            .filter(entry -> !entry.getValue().isDecided && entry.getValue().isObserved(nowNs))
            .max(Comparator.comparingInt(entry -> losses.losses(entry.getKey())))
            .flatMap(
                entry ->
                    entry.getValue().vmWithWaitingCopy().map(vm -> new Trial(vm, entry.getKey())));
    trial.ifPresent(
        started -> {
          candidates.get(started.request()).trialAtNs = nowNs;
          nextTrialNs = nowNs + TRIAL_INTERVAL_NS;
        });
    return trial;
  }

  /** Records that a request got a complete answer, so that the next one can be tried. */
  void recordAnswer() {
    nextTrialNs = 0;
  }
}
