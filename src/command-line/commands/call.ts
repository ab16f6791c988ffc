/** Command: call a plain service as a client account. */
import { Args, Flags } from '@oclif/core';
import { BaseCommand } from '../base-command.js';
import { EXIT_CODES, type ExitCode } from '../exit-codes.js';
import { sendToInstance } from '../operator-client.js';

const OUTCOME_EXIT_CODES: Readonly<Record<string, ExitCode>> = {
  completed: EXIT_CODES.done,
  refused: EXIT_CODES.refused,
  rejected: EXIT_CODES.failed,
  unknown: EXIT_CODES.unknown,
  alreadyClaimed: EXIT_CODES.unknown,
};

export class Call extends BaseCommand {
  static override summary = 'Call a plain service, at most once if a key is given.';

  static override examples = [
    '<%= config.bin %> call bookings /movers --caller 127.0.0.1:7100 --account planner --body \'{"day":"Monday"}\' --key "$(date +%s%3N)-flat12"',
  ];

  static override args = {
    service: Args.string({ required: true, description: 'the service' }),
    path: Args.string({ default: '/', description: 'the path at the service' }),
  };

  static override flags = {
    caller: Flags.string({ required: true, description: 'caller address of an instance' }),
    account: Flags.string({ required: true, description: 'the client account' }),
    'account-key': Flags.string({
      description: "the client account's key",
      env: 'SESAMEDYKE_ACCOUNT_KEY',
    }),
    method: Flags.string({
      default: 'POST',
      options: ['GET', 'HEAD', 'PUT', 'DELETE', 'POST', 'PATCH'],
    }),
    body: Flags.string({ default: '', description: 'the body to send' }),
    key: Flags.string({ description: 'the idempotency key' }),
  };

  override async run(): Promise<unknown> {
    const { args, flags } = await this.parse(Call);
    const accountKey = flags['account-key'];
    const response = await sendToInstance(
      this.parseAddressArgument(flags.caller),
      flags.method,
      `/v1/services/${encodeURIComponent(args.service)}${args.path}`,
      {
        body: flags.body,
        headers: {
          'x-client-account': flags.account,
          ...(accountKey ? { authorization: `Bearer ${flags.account}:${accountKey}` } : {}),
          ...(flags.key ? { 'idempotency-key': flags.key } : {}),
        },
      },
    );
    const outcome = response.headers['x-outcome']?.toString() ?? 'unknown';
    const body = response.body.toString();
    this.log(body);
    process.exitCode = OUTCOME_EXIT_CODES[outcome] ?? EXIT_CODES.unknown;
    return { status: response.status, outcome, body };
  }
}
