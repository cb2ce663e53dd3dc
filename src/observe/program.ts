/** Common entry point of all programs. */

import * as E from 'fp-ts/Either';

/** Exit code for invalid settings. */
const EXIT_BAD_SETTINGS = 2;

/**
 * Starts a program. When the settings are invalid or the start fails, prints one line to standard error and exits.
 * @param name - name of the program
 * @param settings - the settings, or the error found in them
 * @param run - starts the program
 */
export function startProgram<T>(
  name: string,
  settings: E.Either<string, T>,
  run: (settings: T) => Promise<void>,
): void {
  // Node.js uses io_uring when this variable is set to 1, so an inherited value is overridden.
  process.env.UV_USE_IO_URING = '0';
  if (E.isLeft(settings)) {
    process.stderr.write(`${name}: ${settings.left}\n`);
    process.exitCode = EXIT_BAD_SETTINGS;
    return;
  }
  run(settings.right).catch((error: unknown) => {
    process.stderr.write(`${name}: ${String(error)}\n`);
    process.exit(1);
  });
}
