/** Formats metrics in the Prometheus text format. */
export interface MetricsFormatter {
  format(): Promise<string>;
  readonly contentType: string;
}
