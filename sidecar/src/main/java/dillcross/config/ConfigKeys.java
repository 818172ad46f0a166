package dillcross.config;

/**
 * The keys and words of the configuration file, each with the term that the rest of the program
 * uses. Durations are in milliseconds here and in microseconds everywhere else. A key {@code x} may
 * also come from the environment as {@code NODE_X}, see {@link EnvironmentVariables}.
 */
final class ConfigKeys {
  // The process, at the top level of the file. Changes of the name, of the addresses of listening
  // sockets and of the process limits take effect at a restart only.

  /** The sidecar's name; where this key is absent, the sidecar has no name. */
  static final String NAME = "name";

  /** Numeric address and port where clients connect. */
  static final String LISTEN_ADDRESS = "listen";

  /** Present where the process inherits the listening socket as descriptor 0. */
  static final String INHERITED_SOCKET = "fd";

  /** Numeric address and port of the admin endpoint; where absent, there is no such endpoint. */
  static final String ADMIN_ADDRESS = "admin_addr";

  /** Numeric address and port of the discovery service. */
  static final String DISCOVERY_ADDRESS = "discovery";

  /** The endpoint list to start with, in the form of the discovery service's answer. */
  static final String KNOWN_ENDPOINTS = "known";

  /** Seed of all random choices: 64 bits, hexadecimal; 0 where absent. */
  static final String SEED = "seed";

  /** File descriptors that the process may have open; they limit the number of connections. */
  static final String MAX_DESCRIPTORS = "limits.sockets";

  /** Largest request or response body, in bytes; a larger request is answered 413. */
  static final String MAX_BODY_BYTES = "limits.body_bytes";

  /** Resident memory in MB (2^20 bytes); part of it becomes buffers of bodies in transit. */
  static final String MAX_MEMORY_MB = "limits.memory_mb";

  /** The section of limits of the process, and the section of the same name within the settings. */
  static final String LIMITS = "limits";

  /** The section that a reload applies to a running sidecar; paths below are relative to it. */
  static final String SETTINGS = "settings";

  // The sidecar's place among all sidecars

  /** The zone where the sidecar runs. */
  static final String ZONE = "locality";

  /** This sidecar's number among all sidecars, from 0. */
  static final String INSTANCE_INDEX = "me";

  /** How many sidecars share the endpoints, at least 1. */
  static final String INSTANCE_COUNT = "balancers";

  // Request classes

  /** The list of request classes. */
  static final String REQUEST_CLASSES = "categories";

  /** The name of a request class, as requests give it. */
  static final String CLASS_NAME = "name";

  /** Idempotency: {@link #NON_IDEMPOTENT}, {@link #IDEMPOTENT_WITH_KEY} or {@link #IDEMPOTENT}. */
  static final String IDEMPOTENCY = "effect";

  static final String NON_IDEMPOTENT = "at_most_once";
  static final String IDEMPOTENT_WITH_KEY = "deduplicated";
  static final String IDEMPOTENT = "idempotent";

  /** Which endpoints recognise a repeated idempotency key. */
  static final String DEDUPLICATION_SCOPE = "key_scope";

  static final String SCOPE_CELL = "cell";
  static final String SCOPE_ZONE = "zone";
  static final String SCOPE_ALL = "all";

  /** How long endpoints recognise an idempotency key, in ms. */
  static final String DEDUPLICATION_WINDOW_MS = "window_ms";

  /** Latency objective, in ms: an answer within that time earns the whole priority weight. */
  static final String LATENCY_OBJECTIVE_MS = "target_latency_ms";

  /** Largest timeout of a request, in ms. */
  static final String MAX_TIMEOUT_MS = "ttl_ms";

  /** Priority weight: what an answer is worth compared with other classes. */
  static final String PRIORITY_WEIGHT = "benefit";

  /** The share of the priority weight that an answer later than the latency objective earns. */
  static final String LATE_VALUE_SHARE = "overdue_benefit";

  /** Whether priority weights count per request or per unit of work. */
  static final String WEIGHT_BASIS = "benefit_basis";

  static final String WEIGHT_PER_REQUEST = "request";
  static final String WEIGHT_PER_WORK = "work";

  // Tenants

  /** The list of tenants with a quota. */
  static final String TENANTS = "tenants";

  /** The name of a tenant, as requests give it. */
  static final String TENANT_NAME = "name";

  /** Requests per second over all sidecars; 0 for no quota. */
  static final String TENANT_QUOTA_PER_SECOND = "quota_per_s";

  // Slow start

  /** The section of rules that describe how endpoints and the endpoint list behave. */
  static final String RULES = "rules";

  /** Share of full capacity that a freshly started endpoint has, 0 to 1. */
  static final String SLOW_START_INITIAL_SHARE = "rules.start_capacity";

  /** Time from an endpoint's start to its full capacity, in ms. */
  static final String SLOW_START_WARM_UP_MS = "rules.warm_up_ms";

  /** Multiple of its present capacity that overloads an endpoint in slow start. */
  static final String SLOW_START_OVERLOAD_MULTIPLE = "rules.fall_multiple";

  /** The window over which requests are counted to detect overload in slow start, in ms. */
  static final String SLOW_START_WINDOW_MS = "rules.fall_ms";

  // Discovery

  /** How a sidecar gets the endpoint list: it watches the discovery service, or it is pushed. */
  static final String DISCOVERY_MODE = "discovery";

  static final String DISCOVERY_BY_WATCH = "subscribe";
  static final String DISCOVERY_PUSHED = "automatic";

  /**
   * Longest time between two watches or polls of the endpoint list, in ms. A sidecar that exceeds
   * it is treated as if it had been notified of every change of the list.
   */
  static final String POLL_WITHIN_MS = "rules.ask_within_ms";

  /** Whether an endpoint that disappears without draining may still be used. */
  static final String KEEP_REMOVED = "rules.dropped_stay_open";

  /** Whether endpoint weights follow the load ({@link #WEIGHTS_DYNAMIC}) or are capacities. */
  static final String WEIGHT_SOURCE = "weight_source";

  static final String WEIGHTS_ROUGH = "rough";
  static final String WEIGHTS_NOMINAL = "nominal";
  static final String WEIGHTS_ABSENT = "silent";
  static final String WEIGHTS_DYNAMIC = "live";

  // Retries, answers and connections

  /** Attempts per request, the first included, at least 1. */
  static final String MAX_ATTEMPTS = "limits.max_pushes";

  /** Whether two attempts of one request may be in flight together. */
  static final String HEDGING_ALLOWED = "limits.may_duplicate";

  /** Whether an attempt in flight can be cancelled. */
  static final String CANCELLABLE = "limits.cancel";

  /** Whether a rejection may advise when to retry. */
  static final String RETRY_AFTER_ALLOWED = "limits.retry_after";

  /** The longest wait that a rejection may advise, in ms. */
  static final String MAX_RETRY_AFTER_MS = "limits.max_retry_after_ms";

  /** Timeout of a connect to an endpoint, in ms. */
  static final String CONNECT_TIMEOUT_MS = "limits.connect_timeout_ms";

  /** Timeout of an idle connection to an endpoint, in ms. */
  static final String IDLE_TIMEOUT_MS = "limits.keepalive_ms";

  // Objectives

  /** The section of costs of sending a request, in units of the priority weight. */
  static final String PRICES = "prices";

  /** What a request sent to another zone costs, in units of the priority weight. */
  static final String CROSS_ZONE_PRICE = "prices.cross_zone";

  /** The section of objectives other than priority weights. */
  static final String OBJECTIVE = "goal";

  /** Weight of the goal that few requests miss their latency objective; 0 if it does not count. */
  static final String TAIL_WEIGHT = "goal.punctual";

  /** Share of the requests of a class that may miss their latency objective, 0 to 1. */
  static final String TAIL_SLACK = "goal.tail_slack";

  private ConfigKeys() {}

  /** The path of a key below a section or a list item. */
  static String path(String section, String key) {
    return section + "." + key;
  }

  /** The path of a list item, counted from 0. */
  static String item(String list, int index) {
    return list + "." + index;
  }
}
