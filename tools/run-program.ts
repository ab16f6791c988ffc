/** Runs one of this project's programs to its end. */
import { execFile } from 'node:child_process';
import { fileURLToPath } from 'node:url';

/** The command line's program. */
export const COMMAND_LINE = fileURLToPath(new URL('../src/command-line/main.js', import.meta.url));

/** How a program ended. */
export interface Ended {
  readonly code: number;
  readonly out: string;
  readonly error: string;
}

/**
 * Runs a program.
 *
 * @param program - The file to run.
 * @param programArguments - Its arguments.
 * @returns Its exit code and output.
 */
export function runProgram(program: string, ...programArguments: string[]): Promise<Ended> {
  return new Promise((resolve) => {
    execFile(process.execPath, [program, ...programArguments], (execError, out, error) => {
      const code = typeof execError?.code === 'number' ? execError.code : 0;
      resolve({ code, out, error });
    });
  });
}
