/** Memory and descriptors that a machine counts for a process, from the proc file system of Linux. */

import { existsSync, readdirSync, readFileSync } from 'node:fs';

const SAMPLE_INTERVAL_MS = 50;
const KB_PER_MB = 1_024;
const BYTES_PER_MB = 1_048_576;
const HEX = 16;
const LISTENING_STATE = '0A';
const SOCKET_TABLES = ['/proc/net/tcp', '/proc/net/tcp6'];

/** Resident memory of a process now and at its peak; 0 when it has ended. */
function readResident(pid: number): { readonly nowMb: number; readonly peakMb: number } {
  try {
    const text = readFileSync(`/proc/${pid}/status`, 'utf8');
    const getMb = (name: string) =>
      Number(new RegExp(`${name}:\\s+(\\d+)`).exec(text)?.[1] ?? 0) / KB_PER_MB;
    return { nowMb: getMb('VmRSS'), peakMb: getMb('VmHWM') };
  } catch {
    return { nowMb: 0, peakMb: 0 };
  }
}

/** Number of open descriptors of a process; 0 when it has ended. */
function countDescriptors(pid: number): number {
  try {
    return readdirSync(`/proc/${pid}/fd`).length;
  } catch {
    return 0;
  }
}

/** Bytes that the kernel holds for a port, those of connections that are not accepted yet included. */
function readUnreadMb(port: number): number {
  const portText = port.toString(HEX).toUpperCase().padStart(4, '0');
  const lines = SOCKET_TABLES.filter((path) => existsSync(path)).flatMap((path) =>
    readFileSync(path, 'utf8').split('\n').slice(1),
  );
  const unreadBytes = lines.reduce((sum, line) => {
    const [, local, , state, queues] = line.trim().split(/\s+/);
    // The receive queue of a listening socket is a number of connections.
    if (local === undefined || !local.endsWith(`:${portText}`) || state === LISTENING_STATE)
      return sum;
    return sum + parseInt(queues?.split(':')[1] ?? '0', HEX);
  }, 0);
  return unreadBytes / BYTES_PER_MB;
}

/** Peaks of a process. */
export interface WatchFigures {
  /** Resident memory at the first sample. */
  readonly startMb: number;
  /** Peak of the resident memory since the process started. */
  readonly residentMb: number;
  readonly unreadMb: number;
  /** Peak of the sum of resident memory and unread bytes at the same moment, or of the resident memory if larger. */
  readonly countedMb: number;
  readonly descriptorCount: number;
}

/** Follows a process for as long as it lives and keeps the peaks. */
export class ProcessWatch {
  #figures: WatchFigures;

  #pid: number;

  #port: number;

  #timer: NodeJS.Timeout;

  /**
   * @param pid - the process
   * @param port - its port that clients connect to
   */
  constructor(pid: number, port: number) {
    this.#pid = pid;
    this.#port = port;
    const startMb = readResident(pid).nowMb;
    this.#figures = {
      ...{ startMb, residentMb: 0, unreadMb: 0, countedMb: 0, descriptorCount: 0 },
    };
    this.#timer = setInterval(() => this.#sample(), SAMPLE_INTERVAL_MS);
  }

  /** The peaks up to now. */
  get figures(): WatchFigures {
    return this.#figures;
  }

  /** Takes a last sample and stops. */
  stop(): void {
    clearInterval(this.#timer);
    this.#sample();
  }

  #sample(): void {
    const { nowMb, peakMb } = readResident(this.#pid);
    const unreadMb = readUnreadMb(this.#port);
    const { startMb, ...peaks } = this.#figures;
    this.#figures = {
      startMb,
      residentMb: Math.max(peaks.residentMb, peakMb),
      unreadMb: Math.max(peaks.unreadMb, unreadMb),
      countedMb: Math.max(peaks.countedMb, peakMb, nowMb + unreadMb),
      descriptorCount: Math.max(peaks.descriptorCount, countDescriptors(this.#pid)),
    };
  }
}
