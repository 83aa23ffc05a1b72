package org.teaseltrail.runtime.process;

import org.teaseltrail.runtime.settings.ExampleFilePrinter;
import org.teaseltrail.runtime.settings.SettingsSpec;
import org.teaseltrail.runtime.settings.SettingsTablePrinter;

/** Format in which a program prints its settings. */
enum SettingsPrint {
  EXAMPLE {
    @Override
    String text(SettingsSpec spec) {
      return ExampleFilePrinter.print(spec);
    }
  },
  TABLE {
    @Override
    String text(SettingsSpec spec) {
      return SettingsTablePrinter.print(spec);
    }
  };

  abstract String text(SettingsSpec spec);
}
