package org.teaseltrail.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.teaseltrail.core.replication.Member;
import org.teaseltrail.runtime.settings.ExampleFilePrinter;
import org.teaseltrail.runtime.settings.SettingsReader;
import org.teaseltrail.storage.FolderMissingException;
import org.teaseltrail.storage.FolderOwnerMismatchException;
import org.teaseltrail.storage.ReplicaStorage;

class MemberFolderOpenerTest {

  @TempDir private Path folder;

  /**
   * Guards against two processes that act as one member because an operator copied its data folder
   * to another VM: each would vote and sync for the member, so that an accepted change could be on
   * one disk only. The folder must be rejected under another VM's settings.
   */
  @Test
  void refusesFolderOfAnotherVm() throws Exception {
    MemberFolderOpener.open(options("control-1"), StartMode.NEW_GROUP).close();

    assertThatExceptionOfType(FolderOwnerMismatchException.class)
        .isThrownBy(() -> MemberFolderOpener.open(options("control-2"), StartMode.GO_ON))
        .withMessageContaining("belongs to the member on VM control-1, not control-2");
    MemberFolderOpener.open(options("control-1"), StartMode.GO_ON).close();
  }

  /**
   * Guards against a VM that returns with an empty disk under its previous member id, although the
   * synced entries and votes of that member are lost. Resuming must be rejected, and joining must
   * create a new member.
   */
  @Test
  void joiningWithAnEmptyDiskCreatesAnotherMember() throws Exception {
    Member first = member(MemberFolderOpener.open(options("control-1"), StartMode.NEW_GROUP));
    for (Path file : Files.list(folder.resolve("data")).toList()) {
      Files.delete(file);
    }

    assertThatExceptionOfType(FolderMissingException.class)
        .isThrownBy(() -> MemberFolderOpener.open(options("control-1"), StartMode.GO_ON));
    Member second = member(MemberFolderOpener.open(options("control-1"), StartMode.JOIN));
    assertThat(second.vm()).isEqualTo(first.vm());
    assertThat(second.id()).isNotEqualTo(first.id());
  }

  private static Member member(ReplicaStorage open) {
    try (open) {
      return open.identity().member();
    }
  }

  private ControlOptions options(String vm) throws Exception {
    String text =
        ExampleFilePrinter.print(ControlProgramSettings.SPEC)
            .replace("id = control-1", "id = " + vm)
            .replace("/var/lib/teaseltrail", folder.resolve("data").toString());
    Path file = Files.writeString(folder.resolve("control.ini"), text);
    return ControlOptions.of(new SettingsReader(ControlProgramSettings.SPEC).read(file));
  }
}
