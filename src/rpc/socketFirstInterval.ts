/**
 * An interval whose callback runs after the sockets have been read. After a delay of the event loop timers run first,
 * so that a peer whose message waits in a socket would be taken for a silent one.
 */

/** A running interval. */
export interface SocketFirstInterval {
  stop(): void;
}

/**
 * Starts an interval.
 * @param callback - called once in each interval, after the input that was waiting when the interval elapsed
 * @param intervalMs - duration of the interval in milliseconds
 * @returns the running interval; its callback is not called once it is stopped
 */
export function startSocketFirstInterval(
  callback: () => void,
  intervalMs: number,
): SocketFirstInterval {
  let isStopped = false;
  const timer = setInterval(() => {
    setImmediate(() => {
      if (!isStopped) callback();
    });
  }, intervalMs);
  return {
    stop: () => {
      isStopped = true;
      clearInterval(timer);
    },
  };
}
