/** Cucumber formatter: prints a line of progress every few seconds, and the summary at the end. */
import { SummaryFormatter } from '@cucumber/cucumber';
import type { IFormatterOptions } from '@cucumber/cucumber';

/** The part of a message of the test run that this formatter reads. */
interface Envelope {
  readonly testCaseFinished?: { readonly willBeRetried: boolean };
}

/** Time between two lines, in milliseconds. */
const INTERVAL_MILLISECONDS = 5_000;
const MILLISECONDS_IN_SECOND = 1_000;

export default class ProgressFormatter extends SummaryFormatter {
  private readonly startedAt = Date.now();
  private printedAt = this.startedAt;
  private finishedScenarios = 0;

  constructor(options: IFormatterOptions) {
    super(options);
    options.eventBroadcaster.on('envelope', (envelope: Envelope) => this.handleEnvelope(envelope));
  }

  private handleEnvelope({ testCaseFinished }: Envelope): void {
    if (testCaseFinished === undefined || testCaseFinished.willBeRetried) {
      return;
    }
    this.finishedScenarios += 1;
    const now = Date.now();
    if (now - this.printedAt >= INTERVAL_MILLISECONDS) {
      this.printedAt = now;
      const seconds = Math.round((now - this.startedAt) / MILLISECONDS_IN_SECOND);
      this.log(`${this.finishedScenarios} scenarios finished after ${seconds} s\n`);
    }
  }
}
