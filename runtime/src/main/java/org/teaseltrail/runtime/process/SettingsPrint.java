package org.teaseltrail.runtime.process;

import org.teaseltrail.runtime.settings.ExampleFile;
import org.teaseltrail.runtime.settings.SettingsSpec;
import org.teaseltrail.runtime.settings.SettingsTable;

/** Format in which a program prints its settings. */
enum SettingsPrint {
  EXAMPLE {
    @Override
    String text(SettingsSpec spec) {
      return ExampleFile.print(spec);
    }
  },
  TABLE {
    @Override
    String text(SettingsSpec spec) {
      return SettingsTable.print(spec);
    }
  };

  abstract String text(SettingsSpec spec);
}
