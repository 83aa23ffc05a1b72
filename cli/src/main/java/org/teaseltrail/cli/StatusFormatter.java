package org.teaseltrail.cli;

import java.util.List;
import java.util.Locale;
import org.teaseltrail.api.v1.Member;
import org.teaseltrail.api.v1.PoolStatus;
import org.teaseltrail.api.v1.Session;
import org.teaseltrail.api.v1.Status;
import org.teaseltrail.api.v1.TierWaiting;
import org.teaseltrail.api.v1.UpstreamStatus;

/** Formats the state of the system as text. */
final class StatusFormatter {

  private StatusFormatter() {}

  /** Formats the complete status. */
  static String whole(Status status) {
    String text = header(status) + "\n" + members(status.getMembersList());
    if (!status.getLeading()) {
      return text;
    }
    return text
        + "\n"
        + sessions(status.getSessionsList())
        + "\n"
        + pools(status)
        + "\n"
        + upstreams(status.getUpstreamsList());
  }

  /** Formats the members as a table. */
  static String members(List<Member> members) {
    TextTable table = new TextTable("MEMBER", "VM", "ROLE", "SYNCED INDEX", "HEARD MS AGO");
    for (Member member : members) {
      table.addRow(
          member.getId(),
          member.getVm(),
          formatConstant(member.getRole()),
          orHyphen(member.hasSyncedIndex(), member.getSyncedIndex()),
          orHyphen(member.hasSinceHeardMs(), member.getSinceHeardMs()));
    }
    return table.print();
  }

  /** Formats the pools as a table. */
  static String pools(Status status) {
    TextTable table = new TextTable("POOL", "RUNNING", "WAITING", "BY TIER", "MAY SHED");
    for (PoolStatus pool : status.getPoolsList()) {
      int waiting = pool.getWaitingList().stream().mapToInt(TierWaiting::getRequests).sum();
      table.addRow(
          pool.getPool(), pool.getRunning(), waiting, formatByTier(pool), pool.getMayShed());
    }
    return table.print();
  }

  private static String header(Status status) {
    String leader = status.hasLeader() ? status.getLeader() : "unknown";
    return String.format(
        Locale.ROOT,
        "region %s: leader %s, term %d, revision %d, commit index %s (told by %s)%n",
        status.getRegion(),
        leader,
        status.getTerm(),
        status.getRevision(),
        orHyphen(status.hasCommitIndex(), status.getCommitIndex()),
        status.getMember());
  }

  private static String sessions(List<Session> sessions) {
    TextTable table =
        new TextTable("ENTRY VM", "DATA CENTRE", "REVISION", "HELLO MS AGO", "REPORTED");
    for (Session session : sessions) {
      table.addRow(
          session.getVm(),
          session.getDataCenter(),
          session.getAppliedRevision(),
          session.getSinceHelloMs(),
          session.getReportsComplete());
    }
    return table.print();
  }

  private static String formatByTier(PoolStatus pool) {
    StringBuilder text = new StringBuilder();
    for (TierWaiting tier : pool.getWaitingList()) {
      text.append(text.isEmpty() ? "" : ",");
      text.append('t').append(tier.getTier()).append('=').append(tier.getRequests());
    }
    return text.toString();
  }

  private static String upstreams(List<UpstreamStatus> upstreams) {
    TextTable table =
        new TextTable("UPSTREAM", "POOL", "STATE", "ADDRESS", "RUNNING", "TOKENS", "WINDOW");
    for (UpstreamStatus upstream : upstreams) {
      table.addRow(
          upstream.getId(),
          upstream.getPool(),
          formatConstant(upstream.getState()),
          upstream.getAddress(),
          upstream.getRunning(),
          orHyphen(upstream.hasTokensInFlight(), upstream.getTokensInFlight()),
          orHyphen(upstream.hasWindowTokens(), upstream.getWindowTokens()));
    }
    return table.print();
  }

  private static String orHyphen(boolean present, long value) {
    return present ? Long.toString(value) : "-";
  }

  private static String formatConstant(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }
}
