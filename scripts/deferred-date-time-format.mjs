// Stands for Intl.DateTimeFormat in the bundle. Nest creates formats for log lines that
// the daemon never writes, and the first format loads the runtime's locale data.
const RuntimeFormat = globalThis.Intl['DateTimeFormat'];

export class DeferredDateTimeFormat {
  #format;

  constructor(...options) {
    this.options = options;
  }

  format(date) {
    this.#format ??= new RuntimeFormat(...this.options);
    return this.#format.format(date);
  }
}
