"""Pure decisions of the gateway, which routes over engines of joint layers."""
