// A client of mallowlanding's front ends: JSON-RPC 2.0 over Unix sockets, as specified in docs/protocol.md.
//
// It keeps one connection, to one of several front ends, on which it sends RPCs without waiting for the answers of
// earlier ones. When the connection is lost it connects to the next front end. It repeats an RPC only where that is
// harmless: if it was never sent or was denied, whatever its method; if it may have run, only if its method is
// idempotent, or is tokened with the group "all" and its window has not passed.

import { createConnection, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { SendQueue, type Outgoing } from "./sendqueue.js";

/** Which RPCs of a method may run twice. */
export interface Effect {
  /** An RPC may run any number of times. */
  idempotent?: boolean;
  /** Tokened, with group "all": a repeat within this time in ms has no effect. */
  windowMs?: number;
}

export interface Options {
  /** Sockets of the front ends, in the order in which they are tried. */
  sockets: string[];
  /** By method; RPCs of methods that are not listed must never run twice. */
  methods?: Record<string, Effect>;
  /** Most repeats after the first try; by default none. */
  repeats?: number;
  /** Pause before the first repeat in ms, then doubling, with ±50% jitter; by default 50. */
  backOffMs?: number;
  /** Source of the jitter: random numbers from 0 up to 1, exclusive; by default Math.random. */
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
  /** Aborting it cancels the RPC. */
  signal?: AbortSignal;
}

/** The RPC was denied: a retry is harmless, but not before comeBackMs has passed, if it is set. */
export class Denied extends Error {
  constructor(message: string, readonly comeBackMs?: number) { super(message); this.name = "Denied"; }
}
/** The RPC was aborted: it may have run, and nothing is promised about its effect. */
export class Aborted extends Error {
  constructor(readonly reason: string) { super("aborted: " + reason); this.name = "Aborted"; }
}
/** The front end rejected the RPC as wrong: the code is one of JSON-RPC, or -32003 if the client lacks permission. */
export class Refused extends Error {
  constructor(readonly code: number, message: string) { super(`${message} (${code})`); this.name = "Refused"; }
}
/** The RPC was not sent, since no front end could be reached, or none took it before the caller left: it never ran. */
export class Unsent extends Error {
  constructor(message: string) { super("not sent: " + message); this.name = "Unsent"; }
}
/** The connection was lost: the RPC may have run. */
export class Lost extends Error {
  constructor(message: string) { super("connection lost, it may have run: " + message); this.name = "Lost"; }
}

/** A request that has been queued for a connection, with the ids of the RPCs that it holds. */
interface SentRequest { ids: number[]; message: Outgoing; timer?: NodeJS.Timeout }
interface PendingCall { resolve(value: unknown): void; reject(err: Error): void }
interface Message { id?: string | number | null; result?: unknown; error?: { code: number; message: string; data?: Record<string, unknown> } }

function toError(e: NonNullable<Message["error"]>): Error {
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

/** A connection to a front end. */
class Connection {
  private lastId = 0;
  private readonly pending = new Map<number, PendingCall>();
  private partialLine: Buffer[] = [];
  private readonly queue: SendQueue;
  ended?: Error;

  constructor(private readonly socket: Socket) {
    this.queue = new SendQueue(socket);
    socket.on("data", (data: Buffer) => this.read(data));
    socket.on("error", (err) => this.end(err));
    socket.on("close", () => this.end(new Error("closed")));
    // the front end accepts nothing more; RPCs in flight are still answered
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
    const id = ++this.lastId;
    const answer = new Promise<unknown>((resolve, reject) => {
      if (this.ended) reject(new Unsent(this.ended.message));
      else this.pending.set(id, { resolve, reject });
    });
    answer.catch(() => {}); // the caller handles it; this only prevents an unhandled rejection
    return { id, answer };
  }

  /**
   * Sends RPCs with the given ids, which expect has assigned, as encode returns them when they are sent. If they are
   * unsent when their time in ms is up, they end with Unsent.
   */
  send(ids: number[], encode: () => unknown, timeMs?: number): SentRequest {
    const message = { encode };
    const request: SentRequest = { ids, message };
    if (this.ended) return request;
    this.queue.add(message);
    if (timeMs !== undefined && this.queue.state(message) !== "sent") {
      request.timer = setTimeout(() => this.withdraw(request, "its time was up"), timeMs).unref();
    }
    return request;
  }

  /** Has a request not sent any more if it is unsent; else the front end is told to cancel it. */
  cancel(request: SentRequest): void {
    if (this.withdraw(request, "cancelled")) return;
    for (const id of request.ids) this.queue.add({ encode: () => ({ jsonrpc: "2.0", method: "rpc.cancel", params: { id } }) });
  }

  /** Reports whether the request was unsent: its RPCs end with Unsent. */
  private withdraw(request: SentRequest, reason: string): boolean {
    clearTimeout(request.timer);
    const state = this.queue.withdraw(request.message);
    if (state === "begun") this.queue.closeUnlessWritten(request.message);
    if (state !== "unsent") return false;
    for (const id of request.ids) this.takeCall(id)?.reject(new Unsent(reason));
    return true;
  }

  close(): void { this.socket.destroy(); }

  private read(data: Buffer): void {
    for (let at = data.indexOf(10); at >= 0; at = data.indexOf(10)) {
      const line = Buffer.concat([...this.partialLine, data.subarray(0, at)]).toString("utf8");
      this.partialLine = [];
      data = data.subarray(at + 1);
      if (line.trim() === "") continue;
      let value: Message | Message[];
      try { value = JSON.parse(line) as Message | Message[]; } catch (err) { this.socket.destroy(err as Error); return; }
      for (const m of Array.isArray(value) ? value : [value]) this.handleResponse(m);
    }
    if (data.length > 0) this.partialLine.push(data);
  }

  private handleResponse(m: Message): void {
    if (m.id === null && m.error) {
      // -32001 and -32003: the front end refused the connection, so RPCs in flight on it never ran; with any other code
      // there is no way to know which RPC the error is for
      const refused = m.error.code === -32001 || m.error.code === -32003;
      const err = toError(m.error);
      if (refused) for (const call of this.takePending()) call.reject(err);
      else this.socket.destroy(err);
      return;
    }
    const call = this.takeCall(m.id as number);
    if (m.error) call?.reject(toError(m.error));
    else call?.resolve(m.result);
  }

  private takeCall(id: number): PendingCall | undefined {
    const call = this.pending.get(id);
    this.pending.delete(id);
    return call;
  }

  private takePending(): PendingCall[] {
    const all = [...this.pending.values()];
    this.pending.clear();
    return all;
  }

  private end(err: Error): void {
    this.ended ??= err;
    for (const call of this.takePending()) call.reject(new Lost(err.message));
  }
}

export class Client {
  private connection: Promise<Connection> | undefined;
  private current = 0;
  private closed = false;

  constructor(private readonly options: Options) {
    if (options.sockets.length === 0) throw new RangeError("options.sockets is empty");
  }

  /** Closes the connection; RPCs in flight on it end with Lost. */
  async close(): Promise<void> {
    this.closed = true;
    (await this.connection?.catch(() => undefined))?.close();
  }

  /** Sends an RPC, repeats it where that is harmless, and returns the worker's value. */
  async call(rpc: RPC): Promise<unknown> {
    const effect = this.options.methods?.[rpc.method] ?? {};
    const maxRepeats = this.options.repeats ?? 0;
    let mayHaveRunSince: number | undefined; // when a try that may have run ended first
    for (let repeat = 0; ; repeat++) {
      try {
        return await this.sendOnce(rpc, repeat > 0);
      } catch (err) {
        if (repeat >= maxRepeats || rpc.signal?.aborted) throw err;
        let wait = (this.options.backOffMs ?? 50) * 2 ** Math.min(repeat, 10);
        if (err instanceof Denied) wait = err.comeBackMs ?? wait;
        else if (err instanceof Lost || err instanceof Aborted) {
          mayHaveRunSince ??= Date.now();
          const inWindow = Date.now() - mayHaveRunSince + wait * 1.5 < (effect.windowMs ?? 0);
          if (!effect.idempotent && !inWindow) throw err;
        } else if (!(err instanceof Unsent)) throw err;
        await sleep(wait * (0.5 + (this.options.random ?? Math.random)()), undefined, { signal: rpc.signal }).catch(() => { throw err; });
      }
    }
  }

  /** Sends RPCs as one JSON-RPC batch, and repeats none of them. The results are in the order of the RPCs. */
  async batch(rpcs: RPC[]): Promise<PromiseSettledResult<unknown>[]> {
    if (rpcs.length === 0) return [];
    const c = await this.connect();
    const parts = rpcs.map((rpc) => ({ rpc, ...c.expect() }));
    const queuedAt = performance.now();
    c.send(parts.map(({ id }) => id), () => parts.map(({ rpc, id }) => buildRequest(id, rpc, false, performance.now() - queuedAt)),
      longestTime(rpcs));
    return Promise.allSettled(parts.map((p) => p.answer));
  }

  private async sendOnce(rpc: RPC, repeat: boolean): Promise<unknown> {
    rpc.signal?.throwIfAborted();
    const c = await this.connect();
    if (rpc.signal?.aborted) throw new Unsent("cancelled");
    const { id, answer } = c.expect();
    const queuedAt = performance.now();
    const request = c.send([id], () => buildRequest(id, rpc, repeat, performance.now() - queuedAt), rpc.timeMs);
    const cancel = () => c.cancel(request); // the final answer of an RPC that has been sent still comes
    rpc.signal?.addEventListener("abort", cancel, { once: true });
    try {
      return await answer;
    } finally {
      clearTimeout(request.timer);
      rpc.signal?.removeEventListener("abort", cancel);
    }
  }

  private async connect(): Promise<Connection> {
    if (this.closed) throw new Unsent("the client is closed");
    const open = await this.connection?.catch(() => undefined);
    if (open && !open.ended) return open;
    const latest = this.connection;
    if (latest) { // another call may have opened a new connection meanwhile
      const reopened = await latest.catch(() => undefined);
      if (reopened && !reopened.ended) return reopened;
      if (latest !== this.connection) return this.connect();
    }
    this.connection = this.open();
    return this.connection;
  }

  private async open(): Promise<Connection> {
    const { sockets } = this.options;
    const errors: string[] = [];
    for (let i = 0; i < sockets.length; i++) {
      const index = (this.current + i) % sockets.length;
      try {
        const c = await Connection.open(sockets[index]!);
        this.current = index;
        return c;
      } catch (err) { errors.push((err as Error).message); }
    }
    this.current++;
    throw new Unsent(errors.join("; "));
  }
}

/** Returns the longest time of the RPCs in ms, or undefined if one has none. */
function longestTime(rpcs: RPC[]): number | undefined {
  const times = rpcs.map((rpc) => rpc.timeMs);
  return times.includes(undefined) ? undefined : Math.max(...(times as number[]));
}

/** Builds the request of an RPC that has waited for some ms to be sent. */
function buildRequest(id: number, rpc: RPC, repeat: boolean, waitedMs: number): unknown {
  const timeMs = rpc.timeMs === undefined ? undefined : Math.max(0, rpc.timeMs - waitedMs);
  return {
    jsonrpc: "2.0", id, method: rpc.method,
    params: {
      function: rpc.function, customer: rpc.customer, token: rpc.token, time_ms: timeMs,
      repeat: repeat || undefined, payload: rpc.payload,
    },
  };
}
