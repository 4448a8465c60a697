/** Where a stream began. */

/** Service and software version of the runner that sent the first event of a stream. */
export interface StreamOrigin {
  readonly service: string;
  /** Empty if the runner's entry names no version. */
  readonly version: string;
}
