package org.teaseltrail.runtime.log;

import java.util.Locale;

/** Fields of log lines with their meanings; the unit of a value is the suffix of the name. */
public enum LogField {
  /** Id that the caller gave the request. */
  REQUEST("the caller's id of that attempt"),
  /** Time since the complete request was read, or duration of a step. */
  ELAPSED_MS("time since the request was read whole, or that the step or the wait took"),
  /** Customer that pays for the request. */
  CUSTOMER("whose key the request carries"),
  /** Route of the request. */
  ROUTE("the route's name"),
  /** Time limit within which a response counts as on time. */
  OBJECTIVE_MS("the route's objective"),
  /** Time after which the caller gives up. */
  DEADLINE_MS("time that the caller waits from then on"),
  /** Upstream incarnation that a request was sent to, or that leaves. */
  UPSTREAM("an upstream's life"),
  /** Caller's attempt that brought the first event of a resumed stream. */
  RESUMES("the caller's attempt that brought the first event, if the request resumes a stream"),
  /** Last event of a resumed stream that the caller has received. */
  AFTER_EVENT("the event after which a resumed stream is to go on"),
  /** Software version of an upstream. */
  UPSTREAM_VERSION("the upstream's version, or the version that was ordered"),
  /** Entry VM to which the request was relayed. */
  PEER("the entry VM to which the request was relayed last"),
  /** Entry VM that relayed the request to this one. */
  RELAYED_BY("the entry VM that took the request from its caller and relayed it"),
  /** Whether the request was sent within a rollout's canary allowance. */
  CANARY("true if the request went to an ordered version that was still a canary"),
  /** Service that the upstreams belong to. */
  SERVICE("the service"),
  /** Phase of a rollout. */
  PHASE("the rollout's phase"),
  /** Upper bound of the requests that the target version has received. */
  LENT("requests that the ordered version may have got, at most"),
  /** Lower bound of the requests that the service has received since the order. */
  REACHED("requests that have reached the service since the order, at least"),
  /** Number of responses of the target version that a verdict is based on. */
  ANSWERS("answers of the ordered version that decided"),
  /** Number of responses of the target version that failed or were slow. */
  BAD_ANSWERS("those of them that failed or were slow"),
  /** Number of responses of the previous versions, for comparison. */
  ANSWERS_BEFORE("answers of the versions before in the same seconds"),
  /** Number of responses of the previous versions that failed or were slow. */
  BAD_ANSWERS_BEFORE("those of them that failed or were slow"),
  /** Number of the attempt, counted from one. */
  ATTEMPT("which of the request's attempts, from 1"),
  /** Time that the request waited before the attempt was dispatched. */
  WAITED_MS("time from the reading to the attempt's dispatch"),
  /** Time to the first event of a stream. */
  FIRST_EVENT_MS("time from the reading to a stream's first event"),
  /** Longest time between two consecutive parts of a stream. */
  LONGEST_PAUSE_MS("longest time between two parts of a stream"),
  /** Outcome of an attempt or a call. */
  END("how the attempt or the call ended"),
  /** Operation that a control member was called for. */
  CALL("what was asked for"),
  /** Time until a quorum had persisted the entry. */
  COMMIT_MS("time from the leader's taking until it was on a quorum of disks"),
  /** Kind of event that a thread handled. */
  STEP("the kind of event that was handled"),
  /** Time that the request spent at the upstream. */
  AT_UPSTREAM_MS("time that the upstream had the request"),
  /** Fingerprint of the request's content and customer. */
  FINGERPRINT("names the request's content and customer, whatever its id"),
  /** Fingerprints of the parts of the request's prompt. */
  PARTS("names the parts of the prompt but the last, together with their customer"),
  /** Number of upstreams lost while processing the request. */
  LOSSES("upstreams that were lost under the request, 0 if another leader held it"),
  /** Id that an unexpected answer contains. */
  NAMED_REQUEST("the request that the answer names, if it names one"),
  /** Request before the present one on the same connection. */
  PREVIOUS_REQUEST("the request before on that connection, if there was one"),
  /** Number of requests sent on a connection. */
  CONNECTION_USES("requests sent on that connection so far"),
  /** Age of a connection. */
  CONNECTION_AGE_MS("time since that connection was opened"),
  /** Whether the upstream reports a rate limit. */
  LIMITED("whether the upstream names a limit"),
  /** Rate limit that the upstream reports. */
  LIMIT_PER_S(
      "requests a second that the upstream takes from all VMs together, if it names a limit"),
  /** Time for which the upstream asked for no requests. */
  BACKOFF_MS("time for which the upstream wants no request from this VM"),
  /** HTTP status that the caller or this VM received. */
  STATUS("the HTTP status, 0 for none"),
  /** Reason of a refusal, of a failure or of a rollout's transition. */
  REASON("why it was refused or failed, or why a rollout turned"),
  /** Whether an upstream may have started to process the request. */
  MAYBE_RAN("whether an upstream may have run the request"),
  /** Time after which the caller may retry. */
  RETRY_AFTER_MS("when the caller may come back, 0 if no time can be told"),
  /** Forecast wait for a slot that decided about a refusal. */
  EXPECTED_WAIT_MS("wait for a slot that the leader forecast, if that decided"),
  /** Whether the caller had received a part of the response. */
  BEGUN("whether the caller had got a part of the answer"),
  /** Where a request was that a planned stop ended. */
  STAGE("where the request was when a planned stop ended it"),
  /** Version of a plan. */
  VERSION("the plan's version"),
  /** Version of the plan in force on a VM. */
  PLAN_VERSION("version of the plan in force on the VM"),
  /** Addresses of the control members that are contacted first. */
  SEEDS("control members to be asked first"),
  /** Number of requests that have no response yet. */
  OPEN("requests without an answer"),
  /** Raft term of the control group. */
  TERM("the term of the control group"),
  /** Member that is the leader. */
  LEADER("the member that leads, none if it is not known"),
  /** Whether this member is the leader. */
  LEADING("whether this member leads and serves"),
  /** Voters of the control group. */
  VOTERS("the members whose votes count"),
  /** Learners of the control group. */
  LEARNERS("the members that receive the log and have no vote yet"),
  /** Control member that an event is about. */
  MEMBER("the control member"),
  /** Index of the last log entry that a snapshot covers. */
  INDEX("the last log entry that the snapshot covers"),
  /** Size of the state in the latest snapshot, in bytes. */
  STATE_BYTES("size of the state in the snapshot"),
  /** Number of log entries since the latest snapshot. */
  LOG_ENTRIES("log entries since the latest snapshot"),
  /** Size of the log since the latest snapshot, in bytes. */
  LOG_BYTES("size of the commands in the log since the latest snapshot"),
  /** Share of the memory that is full. */
  BUDGET("the share of the memory that is full"),
  /** Bytes held in a share of the memory. */
  HELD_BYTES("bytes that it holds"),
  /** Number of lines dropped before this one. */
  LINES_DROPPED_BEFORE("lines before this one that found no room"),
  /** Name of the thread that failed. */
  THREAD("the thread that failed"),
  /** Why a thread failed: types and innermost calls of the exceptions. */
  CAUSE("why it failed: the exceptions with their innermost calls, or a sentence"),
  /** Exit code of the process. */
  EXIT_CODE("the code with which the process ends; 4 (disk) restarts the member instead"),
  /** Number of slots of a service's ready upstreams. */
  SLOTS("slots of the service's upstreams that take requests"),
  /** Slots and requests of the largest customers and kinds of requests. */
  SHARES(
      "for each customer and route's rank: slots in use, slots granted since the line before, and"
          + " requests that wait"),
  /** Address that a program listens on. */
  ADDRESS("the address that the program is to listen on"),
  /** Expected time to a stream's first event. */
  EXPECTED_FIRST_EVENT_MS("time that was expected from the dispatch to the first event");

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
   * Returns the meaning of the field.
   *
   * @return a phrase
   */
  public String meaning() {
    return meaning;
  }
}
