package org.teaseltrail.cli.explain;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import org.junit.jupiter.api.Test;

/** Explains requests from log lines in the format that the programs write. */
class RequestExplainerTest {

  private static final String ENTRY =
      """
      12.1 entry-1 {"time":"2026-03-23T23:43:40.100Z","program":"teaseltrail-entry","vm":"entry-1",\
      "event":"session_lost","plan_version":7}
      {"time":"2026-03-23T23:43:41.000Z","program":"teaseltrail-entry","vm":"entry-1",\
      "event":"attempt_failed","request":"a1","elapsed_ms":86,"route":"r","objective_ms":400,\
      "upstream":"u1","attempt":1,"waited_ms":0,"end":"BROKEN","status":200,"at_upstream_ms":86}
      {"time":"2026-03-23T23:43:41.200Z","program":"teaseltrail-entry","vm":"entry-1",\
      "event":"request_served","request":"a1","elapsed_ms":286,"route":"r","objective_ms":250,\
      "upstream":"u2","attempt":2,"waited_ms":90,"status":200,"longest_pause_ms":0}
      {"time":"2026-03-23T23:43:41.300Z","program":"teaseltrail-entry","vm":"entry-1",\
      "event":"request_refused","request":"b2","elapsed_ms":0,"reason":"PLAN_UNCERTAIN",\
      "maybe_ran":false,"status":503,"retry_after_ms":500}
      {"time":"2026-03-23T23:43:41.400Z","program":"teaseltrail-entry","vm":"entry-1",\
      "event":"plan_in_force","version":8}
      {"time":"2026-03-23T23:43:41.450Z","program":"teaseltrail-entry","vm":"entry-1",\
      "event":"request_refused","request":"held1","elapsed_ms":0,"reason":"QUARANTINED",\
      "maybe_ran":false,"status":503,"retry_after_ms":60000,"fingerprint":"0a0b"}
      {"time":"2026-03-23T23:43:41.500Z","program":"teaseltrail-entry","vm":"en
      2026-03-23T23:43:41Z WARN words of a library
      """;

  private static final String CONTROL =
      """
      {"time":"2026-03-23T23:43:43.400Z","program":"teaseltrail-control","vm":"control-1",\
      "event":"plan_received","version":8}
      {"time":"2026-03-23T23:43:42.900Z","program":"teaseltrail-control","vm":"control-1",\
      "event":"upstream_leaves","upstream":"u1"}
      """;

  private static RequestExplainer logs() throws IOException {
    RequestExplainer logs = new RequestExplainer();
    logs.readLog(new BufferedReader(new StringReader(ENTRY)));
    logs.readLog(new BufferedReader(new StringReader(CONTROL)));
    return logs;
  }

  @Test
  void explainsLateRetriedRequest() throws IOException {
    String story = logs().explain("a1");
    assertThat(story).containsSubsequence("attempt_failed", "upstream=u1", "request_served");
    assertThat(story).contains("answered after its objective");
  }

  @Test
  void showsSessionLossBeforeRefusal() throws IOException {
    String story = logs().explain("b2");
    assertThat(story).containsSubsequence("request_refused", "at that time", "session_lost");
    assertThat(story).contains("could not know whether its plan was the newest");
    assertThat(story).contains("others refused for PLAN_UNCERTAIN at that time: 0 at this VM");
  }

  /**
   * A request under which upstreams were lost is quarantined; the explanation must name the reason.
   */
  @Test
  void explainsQuarantinedRequest() throws IOException {
    String story = logs().explain("held1");
    assertThat(story).contains("fingerprint=0a0b", "Upstreams ended", "request_held");
  }

  /**
   * The VM's clock is two seconds behind, so by the logged times the upstream left long after the
   * request. The plan that both the VM and the control member logged reveals the skew.
   */
  @Test
  void correctsClockSkewOfEntryVms() throws IOException {
    assertThat(logs().explain("a1")).contains("upstream_leaves");
    assertThat(logs().explain("a1")).contains("read whole at 2026-03-23T23:43:42.914Z");
  }

  @Test
  void countsTruncatedLines() throws IOException {
    assertThat(logs().explain("a1")).contains("lines that could not be read: 1");
  }

  @Test
  void explainsRequestWithoutLogLines() throws IOException {
    assertThat(logs().hasLinesAbout("c3")).isFalse();
    assertThat(logs().explain("c3")).contains("No line tells of it");
  }
}
