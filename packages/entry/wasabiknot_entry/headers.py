"""Names of the HTTP headers of calls."""

KEY = "Idempotency-Key"
CUSTOMER = "Wasabiknot-Customer"
REQUEST_ID = "Wasabiknot-Request-Id"
FORWARDED = "Wasabiknot-Forwarded"
