/** Effects requested by the job table. */

import type { JournalCall } from '../journal/types';
import type { Result } from '../types/outcomes';
import type { JobSummary, TaskCommand } from './types';

/** An effect for the scheduler to perform on behalf of the job table. */
export type JobEffect =
  | JournalCall
  | { readonly kind: 'replyJob'; readonly callId: number; readonly result: Result<JobSummary> }
  | { readonly kind: 'askOwner'; readonly command: TaskCommand };
