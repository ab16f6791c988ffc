/** Base of all commands: the instance to ask, JSON output and exit codes. */
import { Command, Errors, Flags } from '@oclif/core';
import type { Address } from '../common/address.js';
import { EXIT_CODES } from './exit-codes.js';
import { CommandError, parseAddress } from './operator-client.js';

/** The flag that selects the instance to ask. */
export const instanceFlag = Flags.string({
  char: 'i',
  description: 'operator address of any instance, as <IP number>:<port>',
  env: 'SESAMEDYKE_INSTANCE',
  default: '127.0.0.1:7300',
});

/** A command that can print JSON and ends with the exit code of a {@link CommandError}. */
export abstract class BaseCommand extends Command {
  static override enableJsonFlag = true;

  /**
   * Parses an address from an argument or a flag.
   *
   * @param text - The address, as `<IP address>:<port>`.
   * @returns The address; an invalid one ends the command with a usage error.
   */
  protected parseAddressArgument(text: string): Address {
    const parsed = parseAddress(text);
    if (parsed.isLeft()) this.error(parsed.extract(), { exit: EXIT_CODES.usage });
    return parsed.unsafeCoerce();
  }

  protected override async catch(error: Error): Promise<unknown> {
    if (error instanceof CommandError) {
      return super.catch(new Errors.CLIError(error.message, { exit: error.exitCode }));
    }
    return super.catch(error);
  }
}
