// A client for mallowlanding's front ends: JSON-RPC 2.0 over Unix sockets, as docs/protocol.md words it.
//
// It keeps one connection to one of several front ends, sends RPCs without waiting for others' answers, goes on to the
// next front end when one is lost, and repeats an RPC only where that is harmless: any that was never sent or was
// denied; idempotent ones, and tokened ones of the group of all within their window, also when they may have run.

import { createConnection, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** What running an RPC twice would do. */
export interface Effect {
  idempotent?: boolean;
  /** Tokened, of the group of all: a repeat within so many ms has no effect. */
  windowMs?: number;
}

export interface Options {
  /** Sockets of front ends, the first to be tried first. */
  sockets: string[];
  /** By method; what is not here must never run twice. */
  methods?: Record<string, Effect>;
  /** At most so many repeats after the first try. */
  repeats?: number;
  /** First pause before a repeat in ms, doubling, each drawn from half to one and a half of it. */
  backOffMs?: number;
  /** Draws the pauses: from 0 up to 1. */
  random?: () => number;
}

export interface RPC {
  method: string;
  function: string;
  customer?: string;
  token?: string;
  payload?: unknown;
  /** How long the client waits, in ms; by default the method's deadline. */
  timeMs?: number;
  /** Its abort has the RPC cancelled. */
  signal?: AbortSignal;
}

/** A retry is harmless, after comeBackMs where that is told. */
export class Denied extends Error {
  constructor(message: string, readonly comeBackMs?: number) { super(message); this.name = "Denied"; }
}
/** It may have run; nothing is promised. */
export class Aborted extends Error {
  constructor(readonly reason: string) { super("aborted: " + reason); this.name = "Aborted"; }
}
/** An error of the one who asks: JSON-RPC's code, or -32003 for a peer that may not. */
export class Refused extends Error {
  constructor(readonly code: number, message: string) { super(`${message} (${code})`); this.name = "Refused"; }
}
/** No front end could be reached: it never ran. */
export class Unsent extends Error {
  constructor(message: string) { super("not sent: " + message); this.name = "Unsent"; }
}
/** The connection broke: it may have run. */
export class Lost extends Error {
  constructor(message: string) { super("connection lost, it may have run: " + message); this.name = "Lost"; }
}

interface Waiter { resolve(value: unknown): void; reject(err: Error): void }
interface Message { id?: string | number | null; result?: unknown; error?: { code: number; message: string; data?: Record<string, unknown> } }

function failure(e: NonNullable<Message["error"]>): Error {
  switch (e.code) {
    case -32001: {
      const ms = e.data?.["come_back_ms"];
      return new Denied(e.message, typeof ms === "number" ? ms : undefined);
    }
    case -32002: {
      const cause = e.data?.["cause"];
      return new Aborted(typeof cause === "string" ? cause : "");
    }
    default: return new Refused(e.code, e.message);
  }
}

/** One connection. */
class Connection {
  private last = 0;
  private readonly waiting = new Map<number, Waiter>();
  private parts: Buffer[] = [];
  ended?: Error;

  constructor(private readonly socket: Socket) {
    socket.on("data", (data: Buffer) => this.read(data));
    socket.on("error", (err) => this.end(err));
    socket.on("close", () => this.end(new Error("closed")));
    // the front end takes no more; what is out is still answered
    socket.on("end", () => { this.ended ??= new Error("closed by the front end"); });
  }

  static open(path: string): Promise<Connection> {
    return new Promise((resolve, reject) => {
      const socket = createConnection({ path, allowHalfOpen: false });
      socket.once("error", reject);
      socket.once("connect", () => { socket.removeListener("error", reject); resolve(new Connection(socket)); });
    });
  }

  expect(): { id: number; answer: Promise<unknown> } {
    const id = ++this.last;
    const answer = new Promise<unknown>((resolve, reject) => {
      if (this.ended) reject(new Unsent(this.ended.message));
      else this.waiting.set(id, { resolve, reject });
    });
    answer.catch(() => {}); // who waits sees it
    return { id, answer };
  }

  write(value: unknown): void { if (!this.ended) this.socket.write(JSON.stringify(value) + "\n"); }

  cancel(id: number): void { this.write({ jsonrpc: "2.0", method: "rpc.cancel", params: { id } }); }

  close(): void { this.socket.destroy(); }

  private read(data: Buffer): void {
    for (let at = data.indexOf(10); at >= 0; at = data.indexOf(10)) {
      const line = Buffer.concat([...this.parts, data.subarray(0, at)]).toString("utf8");
      this.parts = [];
      data = data.subarray(at + 1);
      if (line.trim() === "") continue;
      let value: Message | Message[];
      try { value = JSON.parse(line) as Message | Message[]; } catch (err) { this.socket.destroy(err as Error); return; }
      for (const m of Array.isArray(value) ? value : [value]) this.answered(m);
    }
    if (data.length > 0) this.parts.push(data);
  }

  private answered(m: Message): void {
    if (m.id === null && m.error) {
      // the connection itself is turned away: what is out on it never ran; of any other, which one it was can't be told
      const turnedAway = m.error.code === -32001 || m.error.code === -32003;
      const err = failure(m.error);
      if (turnedAway) for (const w of this.takeAll()) w.reject(err);
      else this.socket.destroy(err);
      return;
    }
    const w = this.waiting.get(m.id as number);
    if (!w) return;
    this.waiting.delete(m.id as number);
    if (m.error) w.reject(failure(m.error));
    else w.resolve(m.result);
  }

  private takeAll(): Waiter[] {
    const all = [...this.waiting.values()];
    this.waiting.clear();
    return all;
  }

  private end(err: Error): void {
    this.ended ??= err;
    for (const w of this.takeAll()) w.reject(new Lost(err.message));
  }
}

export class Client {
  private connection: Promise<Connection> | undefined;
  private at = 0;
  private closed = false;

  constructor(private readonly options: Options) {
    if (options.sockets.length === 0) throw new RangeError("options.sockets is empty");
  }

  /** Ends the connection; RPCs out on it end as lost. */
  async close(): Promise<void> {
    this.closed = true;
    (await this.connection?.catch(() => undefined))?.close();
  }

  /** Sends an RPC and gives the worker's value. */
  async call(rpc: RPC): Promise<unknown> {
    const effect = this.options.methods?.[rpc.method] ?? {};
    const repeats = this.options.repeats ?? 0;
    let mayHaveRun: number | undefined; // since when
    for (let repeat = 0; ; repeat++) {
      try {
        return await this.once(rpc, repeat > 0);
      } catch (err) {
        if (repeat >= repeats || rpc.signal?.aborted) throw err;
        let wait = (this.options.backOffMs ?? 50) * 2 ** Math.min(repeat, 10);
        if (err instanceof Denied) wait = err.comeBackMs ?? wait;
        else if (err instanceof Lost || err instanceof Aborted) {
          mayHaveRun ??= Date.now();
          const inWindow = Date.now() - mayHaveRun + wait * 1.5 < (effect.windowMs ?? 0);
          if (!effect.idempotent && !inWindow) throw err;
        } else if (!(err instanceof Unsent)) throw err;
        await sleep(wait * (0.5 + (this.options.random ?? Math.random)()), undefined, { signal: rpc.signal }).catch(() => { throw err; });
      }
    }
  }

  /** Sends RPCs as one JSON-RPC batch, once; results stand in the RPCs' order. */
  async batch(rpcs: RPC[]): Promise<PromiseSettledResult<unknown>[]> {
    if (rpcs.length === 0) return [];
    const c = await this.connect();
    const parts = rpcs.map((rpc) => ({ rpc, ...c.expect() }));
    c.write(parts.map(({ rpc, id }) => request(id, rpc, false)));
    return Promise.allSettled(parts.map((p) => p.answer));
  }

  private async once(rpc: RPC, repeat: boolean): Promise<unknown> {
    rpc.signal?.throwIfAborted();
    const c = await this.connect();
    const { id, answer } = c.expect();
    c.write(request(id, rpc, repeat));
    const cancel = () => c.cancel(id); // its one answer still comes
    rpc.signal?.addEventListener("abort", cancel, { once: true });
    try { return await answer; } finally { rpc.signal?.removeEventListener("abort", cancel); }
  }

  private async connect(): Promise<Connection> {
    if (this.closed) throw new Unsent("the client is closed");
    const now = await this.connection?.catch(() => undefined);
    if (now && !now.ended) return now;
    const fresh = this.connection;
    if (fresh) { // another call may be connecting anew already
      const again = await fresh.catch(() => undefined);
      if (again && !again.ended) return again;
      if (fresh !== this.connection) return this.connect();
    }
    this.connection = this.open();
    return this.connection;
  }

  private async open(): Promise<Connection> {
    const { sockets } = this.options;
    const failed: string[] = [];
    for (let i = 0; i < sockets.length; i++) {
      const at = (this.at + i) % sockets.length;
      try {
        const c = await Connection.open(sockets[at]!);
        this.at = at;
        return c;
      } catch (err) { failed.push((err as Error).message); }
    }
    this.at++;
    throw new Unsent(failed.join("; "));
  }
}

function request(id: number, rpc: RPC, repeat: boolean): unknown {
  return {
    jsonrpc: "2.0", id, method: rpc.method,
    params: {
      function: rpc.function, customer: rpc.customer, token: rpc.token, time_ms: rpc.timeMs,
      repeat: repeat || undefined, payload: rpc.payload,
    },
  };
}
