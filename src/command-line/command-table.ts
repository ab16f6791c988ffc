/** The commands of the command line, by name; `oclif` in `package.json` names this file. */
import type { Command } from '@oclif/core';
import { Call } from './commands/call.js';
import { ConfigurationApply, ConfigurationSet } from './commands/configuration-commands.js';
import { Drain } from './commands/drain.js';
import { Addresses } from './queries/addresses.js';
import {
  ConfigurationDiff,
  ConfigurationGet,
  ConfigurationHistory,
  ConfigurationShow,
} from './queries/configuration-queries.js';
import { SettingsCheck } from './queries/settings-check.js';
import { Backends, Histograms, Leases, Members, Pipelines } from './queries/list-commands.js';
import { Status } from './queries/status.js';

export const COMMANDS: Readonly<Record<string, Command.Class>> = {
  'settings:check': SettingsCheck,
  'configuration:get': ConfigurationGet,
  'configuration:set': ConfigurationSet,
  'configuration:diff': ConfigurationDiff,
  'configuration:apply': ConfigurationApply,
  'configuration:history': ConfigurationHistory,
  'configuration:show': ConfigurationShow,
  status: Status,
  members: Members,
  backends: Backends,
  pipelines: Pipelines,
  leases: Leases,
  histograms: Histograms,
  addresses: Addresses,
  call: Call,
  drain: Drain,
};
