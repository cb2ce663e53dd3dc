/** Resolves the queue and the team of a caller's request from the configuration. */

import * as E from 'fp-ts/Either';
import { createDiagnostic } from '../types/diagnostics';
import type { Diagnostic } from '../types/diagnostics';
import type { SubmissionId, TeamId } from '../types/ids';
import type { ClusterConfig, Queue } from '../work/types';

/** The result of routing a request. */
export interface RoutedCall {
  readonly queue: Queue;
  /** Empty for a request to a public queue without a known key. */
  readonly teamId: TeamId;
  /** The path after the queue's prefix. */
  readonly remainingPath: string;
}

const NO_TEAM = '' as TeamId;

const SUBMISSION_ID = /^[0-9a-f]{16}$/;

/** Routing tables of one configuration. */
export class Router {
  #queuesByHost = new Map<string, Queue[]>();

  #teamsByKey = new Map<string, TeamId>();

  /**
   * @param config - the configuration in force
   */
  constructor(readonly config: ClusterConfig) {
    config.queues.forEach((queue) => {
      const queues = this.#queuesByHost.get(queue.host) ?? [];
      queues.push(queue);
      this.#queuesByHost.set(queue.host, queues);
    });
    this.#queuesByHost.forEach((queues) =>
      queues.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length),
    );
    config.teams.forEach((team) => team.keys.forEach((key) => this.#teamsByKey.set(key, team.id)));
  }

  /**
   * Routes a request. The host and the longest matching path prefix select the queue; the key selects
   * the team.
   * @param host - host name without port
   * @param path - path without query
   * @param key - API key of the request, if it has one
   * @returns queue and team, or the diagnostic to refuse the request with
   */
  route(host: string, path: string, key: string | undefined): E.Either<Diagnostic, RoutedCall> {
    const queue = this.#queuesByHost
      .get(host)
      ?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
    if (queue === undefined) return E.left(createDiagnostic('unknownQueue'));
    const teamId = key === undefined ? undefined : this.#teamsByKey.get(key);
    if (teamId === undefined && !queue.isPublic) return E.left(createDiagnostic('unauthorized'));
    return E.right({
      queue,
      teamId: teamId ?? NO_TEAM,
      remainingPath: path.slice(queue.pathPrefix.length),
    });
  }
}

/**
 * Parses a submission id.
 * @param text - the path after the queue's prefix
 * @returns the id, or undefined when the text is not 16 lower-case hexadecimal digits
 */
export function tryParseSubmissionId(text: string): SubmissionId | undefined {
  return SUBMISSION_ID.test(text) ? (text as SubmissionId) : undefined;
}
