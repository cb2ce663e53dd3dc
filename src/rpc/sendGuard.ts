/** Guards the moment at which a call is written. */

import type Pool from 'undici/lib/dispatcher/pool';

/** Code of the error that voids a call which has become too late. */
export const TOO_LATE_CODE = 'HEMLOCKWAY_TOO_LATE';

/** Notes whether the bytes of a call began to leave. */
export class SendGuard {
  #pool: Pool;

  #isTooLate: () => boolean;

  /** Undici has begun to write the call. */
  isWritten = false;

  /**
   * @param pool - keeps the connections
   * @param isTooLate - asked when a connection is about to take the call
   */
  constructor(pool: Pool, isTooLate: () => boolean) {
    this.#pool = pool;
    this.#isTooLate = isTooLate;
  }

  /** Dispatches a call, unless it has become too late when a connection takes it. */
  dispatch(...[options, handler]: Parameters<Pool['dispatch']>): boolean {
    const guarded = handler;
    const onConnect = handler.onConnect?.bind(handler);
    // Undici calls this right before it writes, with a function that gives the call up.
    guarded.onConnect = (abort) => {
      if (this.#isTooLate()) {
        abort(Object.assign(new Error('too late to be sent'), { code: TOO_LATE_CODE }));
        return;
      }
      this.isWritten = true;
      onConnect?.(abort);
    };
    return this.#pool.dispatch(options, guarded);
  }
}
