/** Runs one of this project's programs and waits until it exits. */
import { execFile } from 'node:child_process';
import { fileURLToPath } from 'node:url';

/** The path of the compiled command-line program. */
export const COMMAND_LINE = fileURLToPath(new URL('../src/command-line/main.js', import.meta.url));

/** The exit code and output of a program that has ended. */
export interface ProgramResult {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

/**
 * Runs a program with the Node.js executable of this process.
 *
 * @param program - The path of the script.
 * @param programArguments - The arguments of the program.
 * @returns The exit code and output. The code is also 0 if a signal ended the program.
 */
export function runProgram(program: string, ...programArguments: string[]): Promise<ProgramResult> {
  return new Promise((resolve) => {
    execFile(process.execPath, [program, ...programArguments], (execError, out, error) => {
      const code = typeof execError?.code === 'number' ? execError.code : 0;
      resolve({ exitCode: code, stdout: out, stderr: error });
    });
  });
}
