/**
 * Programs that tests run in processes of their own, as they would keep the process of a test from answering as the
 * stand-in of the store or of a target.
 */

import { fork } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { basename, join } from 'node:path';
import { build } from 'esbuild';

/** Answer of a program to one message. */
type Answer = { readonly value: unknown } | { readonly error: string };

/**
 * Builds a program.
 * @param entryPoint - path of its source
 * @param directory - where it goes
 * @returns path of the program
 */
export async function buildTestProgram(entryPoint: string, directory: string): Promise<string> {
  const program = join(directory, `${basename(entryPoint, '.ts')}.js`);
  await build({
    ...{ entryPoints: [entryPoint], outfile: program },
    ...{ bundle: true, platform: 'node', target: 'node20', format: 'cjs', logLevel: 'warning' },
  });
  return program;
}

/**
 * Answers the messages of the test; the process ends with it. Called by the program.
 * @param answer - computes the answer to a message
 */
export function answerMessages(answer: (message: unknown) => unknown): void {
  const report = (message: Answer) => process.send?.(message);
  process.on('message', (message) => {
    (async () => answer(message))().then(
      (value) => report({ value }),
      (error: unknown) => report({ error: String(error) }),
    );
  });
  process.once('disconnect', () => process.exit(0));
}

/** A process that runs a program. */
export class TestProgram {
  #child: ChildProcess;

  /**
   * @param program - path of the program
   */
  constructor(program: string) {
    this.#child = fork(program, [], { serialization: 'advanced', execArgv: [] });
  }

  /**
   * Sends a message; one at a time.
   * @param message - the message
   * @returns the answer
   * @throws Error when the program could not answer or has ended
   */
  async ask(message: unknown): Promise<unknown> {
    const ended = once(this.#child, 'exit').then(([code]: unknown[]): never => {
      throw new Error(`the program has ended with exit status ${String(code)}`);
    });
    const answered = once(this.#child, 'message').then(([answer]) => answer as Answer);
    this.#child.send(message as object);
    const answer = await Promise.race([answered, ended]);
    if ('error' in answer) throw new Error(`the program has failed: ${answer.error}`);
    return answer.value;
  }

  /** Ends the process. */
  kill(): void {
    this.#child.kill('SIGKILL');
  }
}
