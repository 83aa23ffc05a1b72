package org.teaseltrail.runtime.log;

import java.util.Locale;

/** Names the fields of log lines and says what they hold; units are part of the names. */
public enum LogField {
  /** The id that a caller gave its request. */
  REQUEST("the caller's id of that attempt"),
  /** Time since the request had been read whole. */
  ELAPSED_MS("time since the request was read whole, or that the step took"),
  /** Who pays. */
  CUSTOMER("whose key the request carries"),
  /** By which route a request was placed. */
  ROUTE("the route's name"),
  /** Time in which an answer is on time. */
  OBJECTIVE_MS("the route's objective"),
  /** When the caller gives up. */
  DEADLINE_MS("time that the caller waits from then on"),
  /** Where a request was sent, or who leaves. */
  UPSTREAM("an upstream's life"),
  /** Which software an upstream runs. */
  UPSTREAM_VERSION("the upstream's version, or the version that was ordered"),
  /** Whether a rollout's leader lent the request. */
  CANARY("true if the request went to an ordered version that was still a canary"),
  /** Whose upstreams. */
  SERVICE("the service"),
  /** How far a rollout has come. */
  PHASE("the rollout's phase"),
  /** What an ordered version may have got. */
  LENT("requests that the ordered version may have got, at most"),
  /** What a service got. */
  REACHED("requests that have reached the service since the order, at least"),
  /** What a verdict rests on. */
  ANSWERS("answers of the ordered version that decided"),
  /** What speaks against an ordered version. */
  BAD_ANSWERS("those of them that failed or were slow"),
  /** What an ordered version is compared with. */
  ANSWERS_BEFORE("answers of the versions before in the same seconds"),
  /** What is tolerated. */
  BAD_ANSWERS_BEFORE("those of them that failed or were slow"),
  /** Which of the request's attempts. */
  ATTEMPT("which of the request's attempts, from 1"),
  /** Time before the attempt. */
  WAITED_MS("time from the reading to the attempt's dispatch"),
  /** Time to the first part of a stream. */
  FIRST_EVENT_MS("time from the reading to a stream's first event"),
  /** Longest time between two parts of a stream. */
  LONGEST_PAUSE_MS("longest time between two parts of a stream"),
  /** How an attempt or a call ended. */
  END("how the attempt or the call ended"),
  /** What a control member was asked for. */
  CALL("what was asked for"),
  /** Time until a quorum had it. */
  COMMIT_MS("time from the leader's taking until it was on a quorum of disks"),
  /** What a thread was busy with. */
  STEP("the kind of event that was handled"),
  /** Time that an upstream had a request. */
  AT_UPSTREAM_MS("time that the upstream had the request"),
  /** What the request asked for. */
  FINGERPRINT("names the request's content and customer, whatever its id"),
  /** What speaks against a request. */
  LOSSES("upstreams that were lost under the request, 0 if another leader held it"),
  /** Whether an upstream names a limit. */
  LIMITED("whether the upstream names a limit"),
  /** What an upstream takes. */
  LIMIT_PER_S(
      "requests a second that the upstream takes from all VMs together, if it names a limit"),
  /** How long an upstream wants nothing. */
  BACKOFF_MS("time for which the upstream wants no request from this VM"),
  /** The status that the caller or this VM got. */
  STATUS("the HTTP status, 0 for none"),
  /** Why something was refused. */
  REASON("why it was refused, or why a rollout turned"),
  /** Whether an upstream may have begun to work. */
  MAYBE_RAN("whether an upstream may have run the request"),
  /** When the caller may come back. */
  RETRY_AFTER_MS("when the caller may come back, 0 if no time can be told"),
  /** Whether the caller had got a part. */
  BEGUN("whether the caller had got a part of the answer"),
  /** A plan's version. */
  VERSION("the plan's version"),
  /** The plan that a VM serves under. */
  PLAN_VERSION("version of the plan in force on the VM"),
  /** Addresses of members. */
  SEEDS("control members to be asked first"),
  /** Requests without an answer. */
  OPEN("requests without an answer"),
  /** Number of a leadership. */
  TERM("the term of the control group"),
  /** Who leads. */
  LEADER("the member that leads, none if it is not known"),
  /** Whether this member leads. */
  LEADING("whether this member leads and serves"),
  /** Lines that found no room. */
  LINES_DROPPED_BEFORE("lines before this one that found no room");

  private final String meaning;

  LogField(String meaning) {
    this.meaning = meaning;
  }

  /**
   * Returns the field's name in a line.
   *
   * @return lower case with underscores
   */
  public String text() {
    return name().toLowerCase(Locale.ROOT);
  }

  /**
   * Returns what the field holds.
   *
   * @return a phrase
   */
  public String meaning() {
    return meaning;
  }
}
