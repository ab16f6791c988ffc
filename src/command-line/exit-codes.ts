/** The exit codes of the command line, as documented for operators. */
export const EXIT_CODES = {
  done: 0,
  failed: 1,
  usage: 2,
  unreachable: 3,
  refused: 4,
  unknown: 5,
  notInForceEverywhere: 6,
} as const;
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];
